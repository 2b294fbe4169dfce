package forward

import (
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
)

// Learned returns what this daemon has learned from answers.
func (h *Handler) Learned(now time.Time) cascade.Learned {
	l := cascade.Learned{Latencies: h.latencies.Export(now), Confidences: h.confidences.Export()}
	l.PrefillWork, l.PrefillSeconds = h.prefillRate.Export(now)
	return l
}

// AdoptLearned takes over what another daemon has learned as far as this one has no observations,
// and returns the number of estimates of answer times taken over.
func (h *Handler) AdoptLearned(l cascade.Learned, now time.Time) int {
	h.confidences.Adopt(l.Confidences)
	h.prefillRate.Adopt(l.PrefillWork, l.PrefillSeconds, now)
	return h.latencies.Adopt(l.Latencies, now)
}
