package process_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// The path from the engine delivers events swapped, twice, and mixed with
// those of another attempt. The caller must see its own answer, in order.
func TestEventsOutOfOrder(t *testing.T) {
	s := newSite(t, 2, nil)
	for _, f := range []standin.EngineFaults{
		{Reorder: true}, {Duplicate: true}, {Foreign: true}, {Reorder: true, Duplicate: true, Foreign: true},
	} {
		s.engineFault(f)
		a := summary("order")
		requireAnswered(t, s.Daemons[0], a)
		a.Stream = true
		requireAnswered(t, s.Daemons[1], a)
	}
	s.requireBilled(s.Daemons[0])
}

// The connection to the engine breaks after every few events. The daemon takes
// the stream up again where it broke; the caller notices nothing, and the work
// is not started again.
func TestEngineStreamCutAgainAndAgain(t *testing.T) {
	s := newSite(t, 2, nil)
	s.engineFault(standin.EngineFaults{CutAfter: 5, Cuts: 12})
	a := clearance("cut", keyOf(t, s.Daemons[0], "cut"))
	a.Stream = true
	requireAnswered(t, s.Daemons[0], a)
	require.Equal(t, 1, s.runs("cut"))
}

// An engine dies in the middle of a streamed answer. The caller gets an error
// event; the part it has never ends like a whole answer.
func TestACutNeverLooksLikeAnEnd(t *testing.T) {
	s := newSite(t, 2, slow)
	reply, err := streamUntil(t, s.Daemons[0], summary("engine dies"), 4, func(cluster.Reply) {
		for _, e := range s.engines {
			e.Kill()
		}
	})
	require.NoError(t, err)
	require.False(t, reply.Done)
	require.NotNil(t, reply.Err)
	require.Equal(t, fault.AnswerCut, reply.Err.Kind)
	require.NotEqual(t, fault.RanNo, reply.Err.Ran)
}

// A caller that does not stream loses an engine in the middle: idempotent work
// is started afresh at the other engine, and the caller gets one whole answer.
func TestIdempotentWorkMovesToAnotherEngine(t *testing.T) {
	s := newSite(t, 2, slow)
	done := make(chan cluster.Reply, 1)
	go func() { done <- send(t, s.Daemons[0], summary("moves")) }()
	require.NoError(t, cluster.Eventually(func() error {
		for _, e := range s.engines {
			var c standin.EngineCounts
			if err := cluster.Get("http://"+e.Address+"/standin/counts", &c); err != nil {
				return err
			}
			if c.Prompts["moves"] > 0 {
				e.Kill()
				return nil
			}
		}
		return errNotYet
	}))
	reply := <-done
	require.Nil(t, reply.Err)
	requireWhole(t, reply.Text)
}

// Callers of all daemons run many answers at once through the same engines.
// Each gets the answer to its own request.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	s := newSite(t, 3, nil)
	s.engineFault(standin.EngineFaults{Reorder: true, Foreign: true, CutAfter: 7, Cuts: 40})
	for _, d := range s.Daemons {
		askMany(t, d, 20, "own")
	}
	s.requireBilled(s.Daemons[0])
}
