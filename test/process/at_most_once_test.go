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

// errNotYet is returned to cluster.Eventually while a condition is not met.
var errNotYet = errors.New("not yet")

func itoa(n int) string { return strconv.Itoa(n) }

// A client repeats a request with the same idempotency key, at the same daemon and
// at others, as it does after a lost connection. Guards against a second run, which
// would be billed twice: every repeat must get the first answer.
func TestRepeatedKeyGetsTheFirstAnswer(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("song 1", keyWithHome(t, s.Daemons[0], "one"))
	first := requireAnswered(t, s.Daemons[0], a)
	for _, d := range s.Daemons {
		again := requireAnswered(t, d, a)
		require.Equal(t, first.Text, again.Text)
		require.Equal(t, first.RequestID(), again.RequestID())
	}
	require.Equal(t, 1, s.promptStarts("song 1"))
	s.requireFinishedBilled(s.Daemons[2])
}

// The first request with a key goes to a daemon that is not the key's home, which
// takes the key over from the home. Guards against a second run when the request is
// repeated at the home or at a third daemon.
func TestKeyTakenOverFromHome(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("song 2", keyWithHome(t, s.Daemons[0], "two"))
	first := requireAnswered(t, s.Daemons[1], a)
	require.Equal(t, first.Text, requireAnswered(t, s.Daemons[0], a).Text)
	require.Equal(t, first.Text, requireAnswered(t, s.Daemons[2], a).Text)
	require.Equal(t, 1, s.promptStarts("song 2"))
}

// A client sends the same request to all daemons at the same time, many times, with
// a key that has a discovery prefix and with one that has none. Guards against a
// race for the key in which more than one daemon runs and bills the request.
func TestSameKeyAtAllDaemonsConcurrently(t *testing.T) {
	s := newSite(t, 3, nil)
	for _, key := range []string{keyWithHome(t, s.Daemons[0], "three"), "plain-key-three"} {
		a := clearanceRequest("song "+key, key)
		var all sync.WaitGroup
		for i := range 18 {
			all.Go(func() { _, _ = a.Send(context.Background(), s.Daemons[i%3].CallerURL, nil) })
		}
		all.Wait()
		require.NoError(t, cluster.Eventually(func() error {
			if reply := send(t, s.Daemons[1], a); !reply.Complete() {
				return reply.Err
			}
			return nil
		}))
		require.Equal(t, 1, s.promptStarts(a.Prompt))
	}
	s.requireFinishedBilled(s.Daemons[0])
}

// The home of a key has died, and another daemon gets a request with the key. It
// cannot know whether the home ran the request. Guards against a second run: the
// daemon must report the outcome as unknown and not run the request.
func TestHomeDaemonKilled(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("song 4", keyWithHome(t, s.Daemons[0], "four"))
	s.Daemons[0].Kill()
	requireRefused(t, s.Daemons[1], a, fault.KeyUnsettled, fault.RanUnknown)
	requireRefused(t, s.Daemons[2], a, fault.KeyUnsettled, fault.RanUnknown)
	require.Zero(t, s.promptStarts("song 4"))
}

// The home of a key is paused while another daemon tries to take the key over. When
// it resumes, it gets the delayed call of that daemon and the client's repeats at
// the same time. Guards against more than one run.
func TestHomeDaemonPausedAndResumed(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("song 5", keyWithHome(t, s.Daemons[0], "five"))
	require.NoError(t, s.Daemons[0].Pause())
	requireRefused(t, s.Daemons[1], a, fault.KeyUnsettled, fault.RanUnknown)
	require.Zero(t, s.promptStarts("song 5"))
	s.Daemons[0].Resume()
	var all sync.WaitGroup
	for i := range 9 {
		all.Go(func() { _, _ = a.Send(context.Background(), s.Daemons[i%3].CallerURL, nil) })
	}
	all.Wait()
	require.NoError(t, cluster.Eventually(func() error {
		if reply := send(t, s.Daemons[2], a); !reply.Complete() {
			return reply.Err
		}
		return nil
	}))
	require.Equal(t, 1, s.promptStarts("song 5"))
}

// A key without a prefix is claimed by a write to the store, and the answer to that
// write is lost. Guards against a second run, and against a key that can never run:
// the request must run, or be refused as not run and run on a repeat.
func TestClaimWriteAnswerLost(t *testing.T) {
	s := newSite(t, 3, nil)
	a := clearanceRequest("song 6", "plain-key-six")
	s.setPlatformFault(standin.FaultLoseAnswer)
	reply := send(t, s.Daemons[0], a)
	if reply.Err != nil {
		require.Equal(t, fault.RanNo, reply.Err.Ran)
		require.Zero(t, s.promptStarts("song 6"))
	}
	s.setPlatformFault(standin.FaultNone)
	for _, d := range s.Daemons {
		requireAnswered(t, d, a)
	}
	require.Equal(t, 1, s.promptStarts("song 6"))
}

// The store is unavailable. Requests whose key has a discovery prefix need no store
// and must be answered. Guards against running a request whose key has no prefix,
// since the key cannot be claimed: it must be refused as not run.
func TestKeysDuringStoreOutage(t *testing.T) {
	s := newSite(t, 3, nil)
	prefixed := clearanceRequest("song 7", keyWithHome(t, s.Daemons[1], "seven"))
	s.setPlatformFault(standin.FaultRefuse)
	requireAnswered(t, s.Daemons[1], prefixed)
	requireRefused(t, s.Daemons[1], clearanceRequest("song 8", "plain-key-eight"), fault.StoreUnavailable, fault.RanNo)
	require.Zero(t, s.promptStarts("song 8"))
	s.setPlatformFault(standin.FaultNone)
	requireAnswered(t, s.Daemons[1], clearanceRequest("song 8", "plain-key-eight"))
	require.Equal(t, 1, s.promptStarts("song 7"))
	require.Equal(t, 1, s.promptStarts("song 8"))
	s.requireFinishedBilled(s.Daemons[0])
}

// The connection to the engine breaks before the first byte of the answer, after
// the engine has started the request. The daemon cannot know whether it was
// started. Guards against starting it again at the other engine.
func TestEngineCutBeforeFirstByte(t *testing.T) {
	s := newSite(t, 2, nil)
	s.setEngineFaults(standin.EngineFaults{NoAnswer: true})
	reply := requireAnswered(t, s.Daemons[0], clearanceRequest("song 9", keyWithHome(t, s.Daemons[0], "nine")))
	require.NotEmpty(t, reply.RequestID())
	require.Equal(t, 1, s.promptStarts("song 9"))
	s.setEngineFaults(standin.EngineFaults{})
	s.requireFinishedBilled(s.Daemons[1])
}

// The engines die in the middle of a streamed request that must not run twice.
// Guards against reporting it as not run, and against a new run on a repeat with
// the same key: the repeat must get the outcome of the first request.
func TestEngineKilledDuringStream(t *testing.T) {
	s := newSite(t, 2, slowTokens)
	a := clearanceRequest("song 10", keyWithHome(t, s.Daemons[0], "ten"))
	reply, err := streamAndAct(t, s.Daemons[0], a, 3, func(cluster.Reply) {
		for _, e := range s.engines {
			e.Kill()
		}
	})
	require.NoError(t, err)
	require.False(t, reply.Done, "a truncated answer must not look complete")
	require.NotNil(t, reply.Err)
	require.NotEqual(t, fault.RanNo, reply.Err.Ran)
	a.Stream = true
	again := send(t, s.Daemons[0], a)
	require.NotNil(t, again.Err)
	require.Equal(t, reply.RequestID(), again.RequestID())
}

// An engine dies while it works for a client that does not stream, so the client
// has received nothing yet. Guards against starting the request again at the free
// engine, since the first engine may have completed it.
func TestEngineKilledDuringUnstreamedRequest(t *testing.T) {
	s := newSite(t, 2, slowTokens)
	a := clearanceRequest("song 13", keyWithHome(t, s.Daemons[0], "thirteen"))
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
	require.Zero(t, s.promptStarts("song 13"))
}

// A client uses one key for two different requests. Guards against answering the
// second with the answer to the first, and against running it.
func TestKeyReusedForAnotherRequest(t *testing.T) {
	s := newSite(t, 2, nil)
	key := keyWithHome(t, s.Daemons[0], "eleven")
	requireAnswered(t, s.Daemons[0], clearanceRequest("song 11", key))
	for _, d := range s.Daemons {
		requireRefused(t, d, clearanceRequest("song 12", key), fault.KeyReused, fault.RanNo)
	}
	require.Zero(t, s.promptStarts("song 12"))
}

// Every engine refuses the request. Guards against a wrong "not run" in the error
// answer, and against a key that stays in use: the request must not have run, and
// a repeat with the same key must run it once the engines accept requests again.
func TestRequestReportedNotRunDidNotRun(t *testing.T) {
	s := newSite(t, 2, nil)
	for i, f := range []standin.EngineFaults{{Refuse: "full"}, {Refuse: "not_served"}} {
		s.setEngineFaults(f)
		a := clearanceRequest(fmt.Sprintf("refused %d", i), keyWithHome(t, s.Daemons[0], fmt.Sprintf("refused-%d", i)))
		a.DeadlineMS = "2000"
		for _, a.Stream = range []bool{false, true} {
			reply := send(t, s.Daemons[0], a)
			require.NotNil(t, reply.Err)
			require.Equal(t, 503, reply.Status, "an error must not look like an answer")
			require.Equal(t, fault.RanNo, reply.Err.Ran)
			require.Positive(t, reply.Err.RetryAfter, "the error says when to retry")
			require.NotEmpty(t, reply.Header.Get("Retry-After"))
			require.Zero(t, s.promptStarts(a.Prompt))
		}
		s.setEngineFaults(standin.EngineFaults{})
		requireAnswered(t, s.Daemons[1], a)
		require.Equal(t, 1, s.promptStarts(a.Prompt))
	}
	s.requireFinishedBilled(s.Daemons[0])
}
