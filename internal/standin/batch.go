package standin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// runSteps runs decoding steps until Close. Without work it waits for wake.
func (e *Engine) runSteps() {
	defer e.stepLoop.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		duration := e.beginStep()
		if duration == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.done:
				return
			}
		}
		timer.Reset(duration)
		select {
		case <-timer.C:
		case <-e.done:
			return
		}
		e.finishStep()
	}
}

// beginStep moves waiting attempts into free slots and returns the duration of the next step,
// or 0 if no attempt is running. The prompts of the attempts that it admits lengthen the step.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var prefill time.Duration
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.cancelled {
			continue
		}
		e.running = append(e.running, r)
		cached := e.cache.lookup(promptText(r.attempt.Chat))
		profile := e.options.Profiles[r.attempt.Chat.Model]
		prefill += time.Duration(profile.PrefillTime) * time.Duration(r.usage.PromptTokens-cached)
	}
	if len(e.running) == 0 {
		e.tokensPerSecond = 0
		return 0
	}
	var slowest time.Duration
	for _, r := range e.running {
		slowest = max(slowest, time.Duration(e.options.Profiles[r.attempt.Chat.Model].TokenTime))
	}
	slowdown := (1 + e.options.BatchSlowdown*float64(len(e.running)-1)) * cmp.Or(e.faults.Slowdown, 1)
	duration := time.Duration(float64(slowest)*slowdown) + prefill
	duration = max(duration, time.Microsecond)
	e.tokensPerSecond = float64(len(e.running)) / duration.Seconds()
	return duration
}

// finishStep adds the next event to every running attempt and removes the ended ones.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *attemptRun) bool {
		if !r.cancelled {
			e.addToken(r)
		}
		return r.ended()
	})
}

func (e *Engine) addToken(r *attemptRun) {
	n := len(r.events)
	event := upstream.Event{Attempt: r.attempt.ID, Offset: n}
	if n < len(r.words) {
		event.Delta = r.words[n]
		r.usage.CompletionTokens++
	} else {
		event.FinishReason = "stop"
		r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens
		usage := r.usage
		event.Usage = &usage
		r.finished = true
		e.scheduleRating(r)
	}
	r.events = append(r.events, event)
	r.notify()
}

// scheduleRating passes a rating of a finished answer to OnRating after RatingDelay, for a
// random share of the answers.
func (e *Engine) scheduleRating(r *attemptRun) {
	if e.options.OnRating == nil || e.rng.Float64() >= e.options.RatedShare {
		return
	}
	model, version, _ := strings.Cut(r.attempt.Chat.Model, "@")
	rating := backing.Rating{
		RequestID: r.attempt.RequestID,
		Model:     model,
		Version:   version,
		Kind:      r.attempt.Kind,
		Good:      r.good,
	}
	time.AfterFunc(time.Duration(e.options.RatingDelay), func() { e.options.OnRating(rating) })
}
