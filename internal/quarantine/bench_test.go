package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJudgeFullEvidence measures a decision on as much evidence as is kept: 1,024 crashes of 30
// requests with four parts each, one of them crashing.
func BenchmarkJudgeFullEvidence(b *testing.B) {
	h := newHarness()
	for n := range maxCrashes {
		suspects := []Suspect{h.suspectWith("visrad", "aa", "ee", "ff", fmt.Sprint("c", n))}
		for k := range 30 {
			suspects = append(suspects, h.suspectWith("visrad", "aa", fmt.Sprint("user-", k), fmt.Sprint("d", n), fmt.Sprint("f", n, k)))
		}
		h.end(suspects...)
		h.clock.Advance(200 * time.Millisecond)
	}
	for b.Loop() {
		h.evidence.Suspected(h.list)
		h.evidence.Culprits(allDaemonsKnown, h.list, nil)
	}
}

// BenchmarkSoundRequest measures what a completed request with four parts costs its daemon while no
// instance has crashed.
func BenchmarkSoundRequest(b *testing.B) {
	h := newHarness()
	completions, gate, flights := NewCompletions(h.clock), NewGate(h.clock), NewInFlight(h.clock)
	s := h.suspectWith("visrad", "aa", "bb", "cc", "dd")
	for b.Loop() {
		h.list.Refused(&s)
		leave := gate.Enter(b.Context(), s.Parts)
		flight := flights.Begin(&s)
		completions.Record(&s)
		gate.Open(s.Parts)
		flights.End(flight)
		leave()
	}
}

// BenchmarkJudgeManyParts measures a decision on twelve crashes of four requests with 200 parts each, of
// which two are on several crashes.
func BenchmarkJudgeManyParts(b *testing.B) {
	h := newHarness()
	for range 12 {
		var suspects []Suspect
		for k := range 4 {
			parts := []string{"aa", []string{"ee", "bb"}[min(k, 1)]}
			for range 198 {
				h.next++
				parts = append(parts, fmt.Sprint("p", h.next))
			}
			suspects = append(suspects, h.suspectWith("visrad", parts...))
		}
		h.end(suspects...)
		h.clock.Advance(200 * time.Millisecond)
	}
	for b.Loop() {
		h.evidence.Suspected(h.list)
		h.evidence.Culprits(allDaemonsKnown, h.list, nil)
	}
}
