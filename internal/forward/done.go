package forward

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// recordDone writes the log line of a finished request and updates the metrics.
func (q *request) recordDone(f *fault.Error) {
	took := time.Since(q.startedAt)
	kind := ""
	if f != nil {
		kind = string(f.Kind)
	}
	q.Metrics.count(q.route, kind, took, q.firstByte)
	if q.route != nil && q.route.Kind == catalog.Stream {
		q.steps.note(q.route.Name, &q.sequence)
	}
	attrs := []slog.Attr{
		slog.String("request", q.headers.ID),
		slog.Int("status", q.status),
		slog.Int64("ms", took.Milliseconds()),
		slog.Int64("first_ms", q.firstByte.Milliseconds()),
		slog.String("ran", string(q.ran)),
		slog.Int("sends", q.sends),
		slog.Int("runs", q.runs),
	}
	if q.catalog != nil {
		attrs = append(attrs, slog.Int64("config", q.catalog.Version), slog.Int64("list", q.Table.Revision()),
			slog.Int64("list_age_ms", q.Table.Age().Milliseconds()))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name))
	}
	if f != nil && q.body != nil {
		attrs = append(attrs, slog.String("digest", q.digest.String()))
		if len(q.refusedBy.RefusedParts) > 0 {
			attrs = append(attrs, slog.String("refused_parts", strings.Join(q.refusedBy.RefusedParts, ",")))
		}
	}
	if q.lastInstance.ID != "" {
		attrs = append(attrs, slog.String("instance", q.lastInstance.ID), slog.String("version", q.lastInstance.Version), slog.String("model", q.model))
	}
	if q.gateway != "" {
		attrs = append(attrs, slog.String("gateway", q.gateway))
	}
	if q.expectedFirstEvent > 0 {
		attrs = append(attrs, slog.Int64("expected_ms", q.expectedFirstEvent.Milliseconds()), slog.Int64("head_ms", q.firstEvent.Milliseconds()))
	}
	if q.escalationRefused {
		attrs = append(attrs, slog.String("no_escalation", "no_retry"))
	}
	if len(q.runRecords) > 0 && (q.route.Kind == catalog.Stream || q.incomplete != "" || q.runRecords[len(q.runRecords)-1].framing == byClose) {
		attrs = append(attrs, slog.String("attempts", q.loggedRuns()))
	}
	if q.incomplete != "" {
		attrs = append(attrs, slog.String("incomplete", string(q.incomplete)))
	}
	level := slog.LevelInfo
	if f != nil {
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("kind", kind), slog.String("no_retry", q.noRetryReason), slog.String("why", f.Message))
	}
	slog.LogAttrs(context.Background(), level, "request.done", attrs...)
}
