package dispatch

import (
	"context"
	"log/slog"
	"strings"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// collector keeps the events of an answer that the caller may not see yet. A
// new attempt starts it afresh.
type eventBuffer struct{ events []upstream.Event }

func (c *eventBuffer) emit(event upstream.Event) error {
	if event.Offset == 0 {
		c.events = nil
	}
	c.events = append(c.events, event)
	return nil
}

func (c *eventBuffer) text() string {
	var b strings.Builder
	for _, event := range c.events {
		b.WriteString(event.Delta)
	}
	return b.String()
}

// cascade runs the cheap version, has its answer judged, and runs the second
// version when the judge does not accept it. The caller sees nothing of an
// answer that was not accepted; both runs are on the one bill.
func (e *execution) cascade(ctx context.Context, plan route.Plan) error {
	var first eventBuffer
	last, err := e.runStep(ctx, plan.Steps[0], first.emit)
	if err == nil && e.judgeAccepts(ctx, plan.Steps[0], first.text()) {
		return e.sendBuffered(ctx, first, last)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return e.answerWithVersion(ctx, plan.Steps[1])
}

// release passes collected events on and finishes.
func (e *execution) sendBuffered(ctx context.Context, c eventBuffer, last upstream.Event) error {
	for _, event := range c.events {
		if err := e.forward(event); err != nil {
			return err
		}
	}
	return e.finish(ctx, last)
}

// accepted asks the judge. A judge that does not answer accepts nothing.
func (e *execution) judgeAccepts(ctx context.Context, ref config.VersionRef, text string) bool {
	judgement, err := e.Judge.Judge(ctx, backing.JudgeRequest{
		RequestID: e.req.ID,
		Kind:      e.req.KindName,
		Model:     ref.Model,
		Version:   ref.Version,
		Prompt:    promptText(e.req),
		Answer:    text,
	})
	step := &e.bill.Steps[len(e.bill.Steps)-1]
	step.Judged = e.judgePrice(ctx)
	e.bill.Amount += step.Judged
	if err != nil {
		slog.WarnContext(ctx, "judge.failed", "request", e.req.ID, "error", err)
		return false
	}
	return judgement.Accept
}

// judgePrice is what one judgement costs.
func (e *execution) judgePrice(ctx context.Context) int64 {
	snapshot, _, err := e.Fresh.Ensure(ctx)
	if err != nil {
		return 0
	}
	return snapshot.Doc.Judge.Price
}
