package forward

import (
	"log/slog"
	"net/http"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// noteLeaving records that the instance is leaving, or that it is no longer at its address.
func (a *attempt) noteLeaving() {
	if a.Table.NoteLeaving(a.instance.Incarnation()) {
		slog.Info("instance.leaving", "instance", a.instance.ID, "source", "answer", "request", a.request.headers.ID,
			"list", a.Table.Revision())
		a.NotifyPeers()
	}
}

// noteLimit records the limit that the answer states, or that it states none.
func (a *attempt) noteLimit() {
	var limit inventory.Limit
	var changed bool
	switch {
	case a.misdirected != nobody || a.answerHeaders.LimitUnreadable:
		return
	case a.answerHeaders.HasLimit:
		limit, changed = a.Table.NoteLimit(a.instance, a.answerHeaders.Limit)
	default:
		limit, changed = a.Table.NoteNoLimit(a.instance, a.sentAt)
	}
	if changed {
		limit.Log("answer")
		a.NotifyPeers()
	}
}

// noteFragile records whether the answer states that the service is fragile. An instance that refuses
// the request gets no other one for a moment then.
func (a *attempt) noteFragile() {
	if a.misdirected != nobody {
		return
	}
	service := a.service.Name
	if a.Table.NoteFragile(service, a.answerHeaders.Fragile, a.sentAt) {
		slog.Info("service.fragile", "service", service, "fragile", a.answerHeaders.Fragile, "instance", a.instance.ID, "request", a.request.headers.ID)
		a.NotifyPeers()
	}
	if a.answerHeaders.NotRun {
		a.Table.NoteRefused(a.instance)
	}
}

// acceptAnswer reports whether an answer belongs to this request, and if so stores the values
// of its headers. An answer without the ID of the request may be a late one to another exchange on
// the connection, such as a status check, whatever its status.
func (a *attempt) acceptAnswer(status int, h http.Header) bool {
	headers := a.Codec.ParseAnswer(status, h)
	if headers.ID != a.request.headers.ID {
		a.Metrics.ForeignAnswers.Add(1)
		slog.Info("answer.foreign", "request", a.request.headers.ID, "instance", a.instance.ID, "status", status, "answers", headers.ID)
		return false
	}
	a.answerHeaders = headers
	a.misdirected = rejecterOf(headers, a.instance.ID)
	return true
}
