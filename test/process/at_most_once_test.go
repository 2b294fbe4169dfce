package process_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// errNotYet makes cluster.Eventually try again.
var errNotYet = errors.New("not yet")

func itoa(n int) string { return strconv.Itoa(n) }

// A publisher's client sends a clearance, loses the connection and repeats it
// with the same key, at the same daemon and at another one. It must get the
// first answer; a second run would bill the publisher twice.
func TestRepeatedKeyGetsTheFirstAnswer(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("song 1", keyOf(t, s.Daemons[0], "one"))
	first := requireAnswered(t, s.Daemons[0], a)
	for _, d := range s.Daemons {
		again := requireAnswered(t, d, a)
		require.Equal(t, first.Text, again.Text)
		require.Equal(t, first.RequestID(), again.RequestID())
	}
	require.Equal(t, 1, s.runs("song 1"))
	s.requireBilled(s.Daemons[2])
}

// The client's first try goes to a daemon that is not the home of its key; the
// home has never seen it and hands it over. Later the client asks the home.
func TestKeyIsHandedOver(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("song 2", keyOf(t, s.Daemons[0], "two"))
	first := requireAnswered(t, s.Daemons[1], a)
	require.Equal(t, first.Text, requireAnswered(t, s.Daemons[0], a).Text)
	require.Equal(t, first.Text, requireAnswered(t, s.Daemons[2], a).Text)
	require.Equal(t, 1, s.runs("song 2"))
}

// An impatient client sends the same clearance to all daemons at once, many
// times. Whichever wins, the song is cleared and billed once.
func TestSameKeyEverywhereAtOnce(t *testing.T) {
	s := newSite(t, 3, nil)
	for _, key := range []string{keyOf(t, s.Daemons[0], "three"), "plain-key-three"} {
		a := clearance("song "+key, key)
		var all sync.WaitGroup
		for i := range 18 {
			all.Go(func() { _, _ = a.Send(context.Background(), s.Daemons[i%3].CallerURL, nil) })
		}
		all.Wait()
		require.NoError(t, cluster.Eventually(func() error {
			if reply := send(t, s.Daemons[1], a); !reply.Whole() {
				return reply.Err
			}
			return nil
		}))
		require.Equal(t, 1, s.runs(a.Prompt))
	}
	s.requireBilled(s.Daemons[0])
}

// The home of a key is dead. Another daemon cannot know whether the home ran
// it, says so, and does not run it.
func TestHomeDead(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("song 4", keyOf(t, s.Daemons[0], "four"))
	s.Daemons[0].Kill()
	requireRefused(t, s.Daemons[1], a, fault.KeyUnsettled, fault.RanUnknown)
	requireRefused(t, s.Daemons[2], a, fault.KeyUnsettled, fault.RanUnknown)
	require.Zero(t, s.runs("song 4"))
}

// The home of a key is paused while another daemon is asked. When it wakes, it
// finds the old question and the client's new try at the same time; the key
// must still run once.
func TestHomePausedThenWoken(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("song 5", keyOf(t, s.Daemons[0], "five"))
	require.NoError(t, s.Daemons[0].Freeze())
	requireRefused(t, s.Daemons[1], a, fault.KeyUnsettled, fault.RanUnknown)
	require.Zero(t, s.runs("song 5"))
	s.Daemons[0].Wake()
	var all sync.WaitGroup
	for i := range 9 {
		all.Go(func() { _, _ = a.Send(context.Background(), s.Daemons[i%3].CallerURL, nil) })
	}
	all.Wait()
	require.NoError(t, cluster.Eventually(func() error {
		if reply := send(t, s.Daemons[2], a); !reply.Whole() {
			return reply.Err
		}
		return nil
	}))
	require.Equal(t, 1, s.runs("song 5"))
}

// A key without a prefix is claimed in the table, and the answer to that write
// is lost. The request must run once, or be refused as not run and run later.
func TestLostAnswerToTheClaim(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearance("song 6", "plain-key-six")
	s.platformFault(standin.FaultLoseAnswer)
	reply := send(t, s.Daemons[0], a)
	if reply.Err != nil {
		require.Equal(t, fault.RanNo, reply.Err.Ran)
		require.Zero(t, s.runs("song 6"))
	}
	s.platformFault(standin.FaultNone)
	for _, d := range s.Daemons {
		requireAnswered(t, d, a)
	}
	require.Equal(t, 1, s.runs("song 6"))
}

// The store is out. A key with a discovery prefix needs no store and the
// clearance goes on; a key without one is refused as not run, and truly was
// not.
func TestKeysWhileTheStoreIsOut(t *testing.T) {
	s := newSite(t, 3, nil)
	prefixed := clearance("song 7", keyOf(t, s.Daemons[1], "seven"))
	s.platformFault(standin.FaultRefuse)
	requireAnswered(t, s.Daemons[1], prefixed)
	requireRefused(t, s.Daemons[1], clearance("song 8", "plain-key-eight"), fault.StoreUnavailable, fault.RanNo)
	require.Zero(t, s.runs("song 8"))
	s.platformFault(standin.FaultNone)
	requireAnswered(t, s.Daemons[1], clearance("song 8", "plain-key-eight"))
	require.Equal(t, 1, s.runs("song 7"))
	require.Equal(t, 1, s.runs("song 8"))
	s.requireBilled(s.Daemons[0])
}

// The connection to the engine breaks before the first byte of the answer, so
// the daemon cannot know whether the engine started. The engine did: starting
// the clearance again elsewhere would run it twice.
func TestEngineCutBeforeTheFirstByte(t *testing.T) {
	s := newSite(t, 2, nil)
	s.engineFault(standin.EngineFaults{NoAnswer: true})
	reply := requireAnswered(t, s.Daemons[0], clearance("song 9", keyOf(t, s.Daemons[0], "nine")))
	require.NotEmpty(t, reply.RequestID())
	require.Equal(t, 1, s.runs("song 9"))
	s.engineFault(standin.EngineFaults{})
	s.requireBilled(s.Daemons[1])
}

// An engine dies in the middle of a clearance. The client is told that it may
// have run; nothing starts it again, not even a repeat with the same key.
func TestEngineKilledInTheMiddle(t *testing.T) {
	s := newSite(t, 2, slow)
	a := clearance("song 10", keyOf(t, s.Daemons[0], "ten"))
	reply, err := streamUntil(t, s.Daemons[0], a, 3, func(cluster.Reply) {
		for _, e := range s.engines {
			e.Kill()
		}
	})
	require.NoError(t, err)
	require.False(t, reply.Done, "a cut answer must not look like a whole one")
	require.NotNil(t, reply.Err)
	require.NotEqual(t, fault.RanNo, reply.Err.Ran)
	a.Stream = true
	again := send(t, s.Daemons[0], a)
	require.NotNil(t, again.Err)
	require.Equal(t, reply.RequestID(), again.RequestID())
}

// An engine dies while it works for a client that does not stream, so that the
// client has seen nothing yet. Another engine is free, but the first may have
// done the clearance: it is not started again.
func TestEngineKilledBeforeTheAnswer(t *testing.T) {
	s := newSite(t, 2, slow)
	a := clearance("song 13", keyOf(t, s.Daemons[0], "thirteen"))
	done := make(chan cluster.Reply, 1)
	go func() { done <- send(t, s.Daemons[0], a) }()
	var survivor *cluster.Upstream
	require.NoError(t, cluster.Eventually(func() error {
		for i, e := range s.engines {
			var c standin.EngineCounts
			if err := cluster.Get("http://"+e.Address+"/standin/counts", &c); err != nil {
				return err
			}
			if c.Prompts["song 13"] > 0 {
				e.Kill()
				survivor = s.engines[1-i]
				return nil
			}
		}
		return errNotYet
	}))
	reply := <-done
	require.NotNil(t, reply.Err)
	require.NotEqual(t, fault.RanNo, reply.Err.Ran)
	s.engines = []*cluster.Upstream{survivor}
	require.Zero(t, s.runs("song 13"))
}

// A client uses one key for two songs by mistake. The second must not be
// answered with the first song's clearance, nor run.
func TestKeyReusedForAnotherRequest(t *testing.T) {
	s := newSite(t, 2, nil)
	key := keyOf(t, s.Daemons[0], "eleven")
	requireAnswered(t, s.Daemons[0], clearance("song 11", key))
	for _, d := range s.Daemons {
		requireRefused(t, d, clearance("song 12", key), fault.KeyReused, fault.RanNo)
	}
	require.Zero(t, s.runs("song 12"))
}

// Every engine refuses or cannot be reached. The clearance is reported as not
// run, was not run, and the same key runs it once there is an engine again.
func TestNotRunMeansNotRun(t *testing.T) {
	s := newSite(t, 2, nil)
	for i, f := range []standin.EngineFaults{{Refuse: "full"}, {Refuse: "not_served"}} {
		s.engineFault(f)
		a := clearance(fmt.Sprintf("refused %d", i), keyOf(t, s.Daemons[0], fmt.Sprintf("refused-%d", i)))
		a.DeadlineMS = "2000"
		for _, a.Stream = range []bool{false, true} {
			reply := send(t, s.Daemons[0], a)
			require.NotNil(t, reply.Err)
			require.Equal(t, 503, reply.Status, "an error must not look like an answer")
			require.Equal(t, fault.RanNo, reply.Err.Ran)
			require.Positive(t, reply.Err.RetryAfter, "the caller is told when to come back")
			require.NotEmpty(t, reply.Header.Get("Retry-After"))
			require.Zero(t, s.runs(a.Prompt))
		}
		s.engineFault(standin.EngineFaults{})
		requireAnswered(t, s.Daemons[1], a)
		require.Equal(t, 1, s.runs(a.Prompt))
	}
	s.requireBilled(s.Daemons[0])
}
