package process_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// The engine's events arrive out of order, twice, or mixed with events of another
// attempt. Guards against an answer with reordered, repeated or foreign parts.
func TestEngineEventsReorderedDuplicatedOrForeign(t *testing.T) {
	s := newSite(t, 2, nil)
	for _, f := range []standin.EngineFaults{
		{Reorder: true}, {Duplicate: true}, {Foreign: true}, {Reorder: true, Duplicate: true, Foreign: true},
	} {
		s.setEngineFaults(f)
		a := summaryRequest("order")
		requireAnswered(t, s.Daemons[0], a)
		a.Stream = true
		requireAnswered(t, s.Daemons[1], a)
	}
	s.requireFinishedBilled(s.Daemons[0])
}

// The connection to the engine breaks after every few events. Guards against gaps
// in the answer, and against starting the work again: the daemon must resume the
// stream at the event after the last one received.
func TestEngineStreamCutRepeatedly(t *testing.T) {
	s := newSite(t, 2, nil)
	s.setEngineFaults(standin.EngineFaults{CutAfter: 5, Cuts: 12})
	a := clearanceRequest("cut", keyWithHome(t, s.Daemons[0], "cut"))
	a.Stream = true
	requireAnswered(t, s.Daemons[0], a)
	require.Equal(t, 1, s.promptStarts("cut"))
}

// The engines die in the middle of a streamed answer. Guards against a truncated
// answer that looks complete: the stream must end with an error event and without
// [DONE].
func TestCutStreamEndsWithError(t *testing.T) {
	s := newSite(t, 2, slowTokens)
	reply, err := streamAndAct(t, s.Daemons[0], summaryRequest("engine dies"), 4, func(cluster.Reply) {
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

// An engine dies while it works on an idempotent request of a caller that does not
// stream. Guards against an avoidable error: the daemon must start the request
// again at the other engine and return one complete answer.
func TestIdempotentRequestRetriedAtAnotherEngine(t *testing.T) {
	s := newSite(t, 2, slowTokens)
	done := make(chan cluster.Reply, 1)
	go func() { done <- send(t, s.Daemons[0], summaryRequest("moves")) }()
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
	requireComplete(t, reply.Text)
}

// Callers of all daemons send many requests at once, while engine connections
// break and carry reordered and foreign events. Guards against answers that are
// mixed up between requests.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	s := newSite(t, 3, nil)
	s.setEngineFaults(standin.EngineFaults{Reorder: true, Foreign: true, CutAfter: 7, Cuts: 40})
	for _, d := range s.Daemons {
		requireAllAnswered(t, d, 20, "own")
	}
	s.requireFinishedBilled(s.Daemons[0])
}
