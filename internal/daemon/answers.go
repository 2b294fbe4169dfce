package daemon

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/session"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// successorOf returns the daemon that has the keys and answers of an incarnation:
// the daemon itself, or the last of the successors to which they were handed over.
// If that daemon has left without a successor, its state is Left. successorOf
// returns false if a daemon in this chain is not known, or if the chain is too long.
func successorOf(registry *member.Registry, incarnation string) (member.Daemon, bool) {
	const maxSteps = 8
	for range maxSteps {
		d, ok := registry.Get(incarnation)
		if !ok {
			return member.Daemon{}, false
		}
		if d.State != member.Left || d.Successor == "" {
			return d, true
		}
		incarnation = d.Successor
	}
	return member.Daemon{}, false
}

// keyTaker requests idempotency keys from other daemons. It implements
// claim.KeyTaker.
type keyTaker struct {
	self     string
	registry *member.Registry
	client   *peer.Client
	claims   *claim.Table
}

// Take implements claim.KeyTaker.
func (a *keyTaker) Take(ctx context.Context, incarnation string, key claim.Key, home claim.Home, digest string) (claim.Result, error) {
	d, known := successorOf(a.registry, incarnation)
	if !known || d.State == member.Left {
		return claim.Result{}, keyUnsettledError(incarnation)
	}
	request := peer.TakeRequest{Key: key, Home: home, Digest: digest, Asker: a.self}
	result, err := a.client.TakeKey(ctx, d.PeerAddress, request)
	if err != nil {
		return claim.Result{}, keyUnsettledError(incarnation)
	}
	return result, nil
}

// keyUnsettledError returns the error for a key whose daemon cannot be reached.
func keyUnsettledError(incarnation string) error {
	return fault.New(fault.KeyUnsettled, "Idempotency-Key: the daemon %s, which knows whether the key has run, cannot be reached", incarnation).WithRan(fault.RanUnknown)
}

// answerFinder finds an answer at this daemon, at the daemon that created it or
// its successor, or at the upstream. It implements caller.Answers.
type answerFinder struct {
	self           string
	store          *answer.Store
	registry       *member.Registry
	peerClient     *peer.Client
	upstreamClient *upstream.Client
	now            func() time.Time
}

// Find implements caller.Answers.
func (f *answerFinder) Find(ctx context.Context, requestID string, resume *session.Resume) (caller.Reader, error) {
	if a, ok := f.store.Get(requestID); ok && !interruptedByStop(a.View(-1), resume) {
		return a, nil
	}
	if remote, ok := f.remote(ctx, requestID); ok && !interruptedByStop(remote.view, resume) {
		return remote, nil
	}
	if resume != nil {
		return &upstreamReader{client: f.upstreamClient, resume: *resume, created: f.now()}, nil
	}
	return nil, fault.New(fault.RequestNotFound, "request %s is not known; with its resume token the stream can be continued from the upstream", requestID)
}

// interruptedByStop reports whether the answer ended because its daemon stopped,
// and can be continued from the upstream with the resume token.
func interruptedByStop(v answer.View, resume *session.Resume) bool {
	return resume != nil && v.Err != nil && v.Err.Kind == fault.Stopping
}

// remote returns a reader of an answer that another daemon has.
func (f *answerFinder) remote(ctx context.Context, requestID string) (*remoteReader, bool) {
	d, known := successorOf(f.registry, ident.Incarnation(requestID))
	if !known || d.Incarnation == f.self || d.State == member.Left {
		return nil, false
	}
	r := &remoteReader{client: f.peerClient, registry: f.registry, id: requestID}
	reply, err := f.peerClient.Answer(ctx, d.PeerAddress, peer.AnswerRequest{RequestID: requestID, After: -1})
	if err != nil || !reply.Found {
		return nil, false
	}
	r.view = reply.View
	return r, true
}

// pollWait is the time that a peer waits for new events before it replies.
const pollWait = 10 * time.Second

// remoteReader reads an answer of another daemon by long polling.
type remoteReader struct {
	client   *peer.Client
	registry *member.Registry
	id       string
	// view is the state of the answer when it was found.
	view answer.View
}

// Owner returns the organisation that the answer belongs to.
func (r *remoteReader) Owner() string { return r.view.Organisation }

// View returns the state of the answer when it was found.
func (r *remoteReader) View(int) answer.View { return r.view }

// maxHandovers bounds how many failed polls a reader repeats. After a failure the
// answer may be at another daemon, which took it over.
const maxHandovers = 3

// Wait implements caller.Reader.
func (r *remoteReader) Wait(ctx context.Context, after int, haveHead bool) (answer.View, error) {
	handovers := 0
	for {
		reply, err := r.poll(ctx, after, haveHead)
		switch {
		case err != nil && handovers < maxHandovers && ctx.Err() == nil:
			// The daemon may have stopped and handed over its answers.
			handovers++
		case err != nil:
			return answer.View{}, err
		case !reply.Found:
			return answer.View{}, fault.New(fault.AnswerGone, "the answer is not kept any more").WithRan(fault.RanYes)
		case len(reply.View.Events) > 0 || reply.View.Done || (reply.View.Head != nil && !haveHead):
			return reply.View, nil
		}
	}
}

// poll requests the events after an offset from the daemon that has the answer.
func (r *remoteReader) poll(ctx context.Context, after int, haveHead bool) (peer.AnswerReply, error) {
	d, known := successorOf(r.registry, ident.Incarnation(r.id))
	if !known || d.State == member.Left {
		return peer.AnswerReply{}, fault.New(fault.AnswerCut, "the daemon that has the answer is gone").WithRan(fault.RanUnknown)
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+peer.CallTimeout)
	defer cancel()
	return r.client.Answer(ctx, d.PeerAddress, peer.AnswerRequest{
		RequestID: r.id, After: after, HaveHead: haveHead, WaitMS: pollWait.Milliseconds(),
	})
}

// upstreamReader continues an answer directly from the upstream that generates
// it, when no daemon still has it. It does not update the bill: a daemon that
// holds a replica of the bill closes it.
type upstreamReader struct {
	client  *upstream.Client
	resume  session.Resume
	created time.Time
	stream  *upstream.Stream
}

// Owner returns the organisation that the answer belongs to.
func (r *upstreamReader) Owner() string { return r.resume.Organisation }

// maxUpstreamResumes bounds the attempts to read one event from the upstream.
const maxUpstreamResumes = 5

// Wait implements caller.Reader. It uses the caller's event offsets for the
// upstream's attempt, which numbers its events in the same way.
func (r *upstreamReader) Wait(ctx context.Context, after int, _ bool) (answer.View, error) {
	var err error
	for range maxUpstreamResumes {
		if r.stream == nil {
			r.stream, err = r.client.Resume(ctx, r.resume.Address, r.resume.Attempt, after+1)
		}
		if err == nil {
			var event upstream.Event
			if event, err = r.stream.Next(); err == nil {
				return r.view(event), nil
			}
			r.stream.Close()
		}
		r.stream = nil
		if ctx.Err() != nil {
			return answer.View{}, ctx.Err()
		}
	}
	return answer.View{}, fault.New(fault.AnswerCut, "the upstream cannot continue the answer: %v", err).WithRan(fault.RanUnknown)
}

func (r *upstreamReader) view(event upstream.Event) answer.View {
	return answer.View{
		RequestID: r.resume.RequestID,
		Head:      &answer.Head{Version: r.resume.Version, Session: r.resume.Session, Created: r.created},
		Events: []answer.Event{{
			Offset: event.Offset, Delta: event.Delta, FinishReason: event.FinishReason, Usage: event.Usage,
		}},
		Done: event.Last(),
	}
}
