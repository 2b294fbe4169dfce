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

// eventBuffer holds the events of an answer that must not be sent to the caller
// yet.
type eventBuffer struct{ events []upstream.Event }

// add appends an event. The first event of a new attempt discards the events of the
// earlier one.
func (c *eventBuffer) add(event upstream.Event) error {
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

// cascade runs the first version of the plan and asks the judge about its
// answer. It runs the second version if the first one fails or the judge does
// not accept its answer. The caller receives no part of an answer that was not
// accepted; both runs are charged to the same bill.
func (e *execution) cascade(ctx context.Context, plan route.Plan) error {
	var first eventBuffer
	last, err := e.runStep(ctx, plan.Steps[0], first.add)
	if err == nil && e.judgeAccepts(ctx, plan.Steps[0], first.text()) {
		return e.sendBuffered(ctx, first, last)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return e.answerWithVersion(ctx, plan.Steps[1])
}

// sendBuffered sends the buffered events to the caller and completes the
// request.
func (e *execution) sendBuffered(ctx context.Context, c eventBuffer, last upstream.Event) error {
	for _, event := range c.events {
		if err := e.forward(event); err != nil {
			return err
		}
	}
	return e.finish(ctx, last)
}

// judgeAccepts reports whether the judge accepts the answer of the last step. It
// returns false if the judge does not respond. The judge's price is charged to
// the step in either case.
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

// judgePrice returns the price of one judgement.
func (e *execution) judgePrice(ctx context.Context) int64 {
	snapshot, _, err := e.ConfigSource.UsableSnapshot(ctx)
	if err != nil {
		return 0
	}
	return snapshot.Doc.Judge.Price
}
