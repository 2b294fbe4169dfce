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

// successorOf follows incarnations that have left to the daemon that answers
// for them.
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

// asker asks other daemons for idempotency keys. It implements claim.KeyTaker.
type asker struct {
	self     string
	registry *member.Registry
	client   *peer.Client
	claims   *claim.Table
}

// Take implements claim.KeyTaker.
func (a *asker) Take(ctx context.Context, incarnation string, key claim.Key, home claim.Home, digest string) (claim.Result, error) {
	d, known := successorOf(a.registry, incarnation)
	if !known || d.State == member.Left {
		return claim.Result{}, unreachable(incarnation)
	}
	request := peer.TakeRequest{Key: key, Home: home, Digest: digest, Asker: a.self}
	result, err := a.client.TakeKey(ctx, d.PeerAddress, request)
	if err != nil {
		return claim.Result{}, unreachable(incarnation)
	}
	return result, nil
}

func unreachable(incarnation string) error {
	return fault.New(fault.KeyUnsettled, "Idempotency-Key: the daemon %s, which knows whether the key has run, cannot be reached", incarnation).WithRan(fault.RanUnknown)
}

// answerFinder finds answers here, at the daemon that made them, or at the
// upstream itself. It implements caller.Answers.
type answerFinder struct {
	self     string
	store    *answer.Store
	registry *member.Registry
	client   *peer.Client
	engines  *upstream.Client
	now      func() time.Time
}

// Find implements caller.Answers.
func (f *answerFinder) Find(ctx context.Context, requestID string, resume *session.Resume) (caller.Reader, error) {
	if a, ok := f.store.Get(requestID); ok && !cutByStop(a.View(-1), resume) {
		return a, nil
	}
	if remote, ok := f.remote(ctx, requestID); ok && !cutByStop(remote.view, resume) {
		return remote, nil
	}
	if resume != nil {
		return &engineReader{engines: f.engines, resume: *resume, created: f.now()}, nil
	}
	return nil, fault.New(fault.RequestNotFound, "request %s is not known; with its resume token the stream can be continued from the upstream", requestID)
}

// cutByStop reports whether a daemon that stopped gave the answer up while the
// upstream went on: with a resume token it can be continued from there.
func cutByStop(v answer.View, resume *session.Resume) bool {
	return resume != nil && v.Err != nil && v.Err.Kind == fault.Stopping
}

func (f *answerFinder) remote(ctx context.Context, requestID string) (*remoteReader, bool) {
	d, known := successorOf(f.registry, ident.Incarnation(requestID))
	if !known || d.Incarnation == f.self || d.State == member.Left {
		return nil, false
	}
	r := &remoteReader{client: f.client, registry: f.registry, id: requestID}
	reply, err := f.client.Answer(ctx, d.PeerAddress, peer.AnswerRequest{RequestID: requestID, After: -1})
	if err != nil || !reply.Found {
		return nil, false
	}
	r.view = reply.View
	return r, true
}

// pollWait is how long a peer waits for something new before it answers.
const pollWait = 10 * time.Second

// remoteReader reads an answer that another daemon has.
type remoteReader struct {
	client   *peer.Client
	registry *member.Registry
	id       string
	// view is the answer as it was when it was found.
	view answer.View
}

// Owner returns the organisation that the answer belongs to.
func (r *remoteReader) Owner() string { return r.view.Organisation }

// View returns the answer as it was when it was found.
func (r *remoteReader) View(int) answer.View { return r.view }

// maxMoves bounds how often a reader follows an answer to the daemon that took
// it over.
const maxMoves = 3

// Wait implements caller.Reader.
func (r *remoteReader) Wait(ctx context.Context, after int, haveHead bool) (answer.View, error) {
	moves := 0
	for {
		reply, err := r.poll(ctx, after, haveHead)
		switch {
		case err != nil && moves < maxMoves && ctx.Err() == nil:
			// The daemon may have stopped and handed its answers over.
			moves++
		case err != nil:
			return answer.View{}, err
		case !reply.Found:
			return answer.View{}, fault.New(fault.AnswerGone, "the answer is not kept any more").WithRan(fault.RanYes)
		case len(reply.View.Events) > 0 || reply.View.Done || (reply.View.Head != nil && !haveHead):
			return reply.View, nil
		}
	}
}

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

// engineReader continues an answer straight from the upstream that runs it,
// after the daemon that started it is gone. The bill is closed by whoever
// holds a copy of it.
type engineReader struct {
	engines *upstream.Client
	resume  session.Resume
	created time.Time
	stream  *upstream.Stream
}

// Owner returns the organisation that the answer belongs to.
func (r *engineReader) Owner() string { return r.resume.Organisation }

// maxEngineResumes bounds the reconnections for one event.
const maxEngineResumes = 5

// Wait implements caller.Reader. Offsets of the caller's events are those of
// the attempt.
func (r *engineReader) Wait(ctx context.Context, after int, _ bool) (answer.View, error) {
	var err error
	for range maxEngineResumes {
		if r.stream == nil {
			r.stream, err = r.engines.Resume(ctx, r.resume.Address, r.resume.Attempt, after+1)
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

func (r *engineReader) view(event upstream.Event) answer.View {
	return answer.View{
		RequestID: r.resume.RequestID,
		Head:      &answer.Head{Version: r.resume.Version, Session: r.resume.Session, Created: r.created},
		Events: []answer.Event{{
			Offset: event.Offset, Delta: event.Delta, FinishReason: event.FinishReason, Usage: event.Usage,
		}},
		Done: event.Last(),
	}
}
