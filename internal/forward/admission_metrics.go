package forward

import "time"

// admissionMetrics holds the counters of admission control.
type admissionMetrics struct {
	Waiting int64 `json:"waiting"`
	// Waits are the times that requests have waited in the queues.
	Waits histogram `json:"waits"`
	// Refused is the number of refusals by organisation and reason.
	Refused map[string]map[string]int64 `json:"refused"`
}

// maxOrganisations bounds the organisations counted by name. All further ones are counted
// together.
const maxOrganisations = 64

func (m *Metrics) countWait(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waits.add(d)
}

func (m *Metrics) countRefusal(organisation, reason string) {
	if organisation == "" {
		organisation = "(none)"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.refused[organisation]; !ok {
		if len(m.refused) >= maxOrganisations {
			organisation = "(other)"
		}
		if m.refused[organisation] == nil {
			m.refused[organisation] = map[string]int64{}
		}
	}
	m.refused[organisation][reason]++
}

// admission returns the counters of admission control. The lock is held.
func (m *Metrics) admission() admissionMetrics {
	return admissionMetrics{Waiting: m.Waiting.Load(), Waits: m.waits, Refused: m.refused}
}
