package standin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// PoorMarker is the last word of a bad answer.
const PoorMarker = "uncertain"

// VersionProfile says how an engine behaves when it runs a version.
type VersionProfile struct {
	// Quality is the probability that an answer is good, by kind of request; "" is the
	// default.
	Quality map[string]float64 `json:"quality"`
	// TokenTime is the duration of a decoding step with one running attempt.
	TokenTime Duration `json:"token_time"`
	// PrefillTime is the time per uncached prompt token.
	PrefillTime Duration `json:"prefill_time"`
	// Tokens is the length of an answer in tokens; 0 means 16.
	Tokens int `json:"tokens"`
}

// Duration is a time.Duration whose JSON form is a string such as "30ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// EngineOptions are the settings of an engine stand-in.
type EngineOptions struct {
	Instance string `json:"instance"`
	// Profiles has every version that the engine can load, by "model@version".
	Profiles map[string]VersionProfile `json:"profiles"`
	// Serving lists the versions loaded at start.
	Serving []string `json:"serving"`
	// Slots is the maximum batch size; 0 means 8.
	Slots int `json:"slots"`
	// QueueLimit is the number of waiting attempts at which new ones are refused; 0 means
	// 64.
	QueueLimit int `json:"queue_limit"`
	// BatchSlowdown is the relative growth of a step's duration for each running attempt
	// beyond the first.
	BatchSlowdown float64 `json:"batch_slowdown"`
	// ReportLag is the age of the load reports that the engine returns.
	ReportLag Duration `json:"report_lag"`
	// LoadTime is the time to load a version.
	LoadTime Duration `json:"load_time"`
	// Fencing is "ignore" if the engine executes orders with an outdated fencing token;
	// with any other value it refuses them.
	Fencing string `json:"fencing"`
	// CacheTokens is the size of the prompt prefix cache in tokens; 0 means 4096. A word
	// counts as a token.
	CacheTokens int    `json:"cache_tokens"`
	Seed        uint64 `json:"seed"`
	// RatedShare is the share of finished answers that get a rating.
	RatedShare float64 `json:"rate_share"`
	// RatingDelay is the time from the end of an answer to its rating.
	RatingDelay Duration `json:"rate_delay"`
	// Platform is the address of the platform stand-in that provides weights and takes
	// ratings. If it is empty, the engine loads versions without fetching weights.
	Platform string `json:"platform"`
	// OnRating receives the ratings; if it is nil, answers are not rated.
	OnRating func(backing.Rating) `json:"-"`
}

// attemptRun is the state of one attempt that the engine has accepted.
type attemptRun struct {
	attempt   upstream.Attempt
	events    []upstream.Event
	good      bool
	words     []string
	usage     upstream.Usage
	finished  bool
	cancelled bool
	// changed is closed and replaced whenever the events or the state change.
	changed chan struct{}
}

func (r *attemptRun) ended() bool { return r.finished || r.cancelled }

func (r *attemptRun) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Engine simulates a model engine with continuous batching: each step generates one token
// for every running attempt, and waiting attempts join the batch between steps.
type Engine struct {
	options EngineOptions

	mu              sync.Mutex
	rng             *rand.Rand
	serving         map[string]bool // false while loading
	running         []*attemptRun
	waiting         []*attemptRun
	attempts        map[string]*attemptRun
	requests        map[string][]*attemptRun
	fence           int64
	orders          int
	leaving         bool
	faults          EngineFaults
	reports         []upstream.LoadReport
	reportTimes     []time.Time
	cache           prefixCache
	tokensPerSecond float64
	wake            chan struct{}
	done            chan struct{}
	stepLoop        sync.WaitGroup
}

// NewEngine returns an engine that runs until Close.
func NewEngine(options EngineOptions) *Engine {
	options.Slots = cmp.Or(options.Slots, 8)
	options.QueueLimit = cmp.Or(options.QueueLimit, 64)
	e := &Engine{
		options:  options,
		rng:      rand.New(rand.NewPCG(options.Seed, 1)),
		serving:  map[string]bool{},
		attempts: map[string]*attemptRun{},
		requests: map[string][]*attemptRun{},
		cache:    prefixCache{maxWords: cmp.Or(options.CacheTokens, 4096)},
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	for _, v := range options.Serving {
		e.serving[v] = true
	}
	e.stepLoop.Add(1)
	go e.runSteps()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	close(e.done)
	e.stepLoop.Wait()
}

// enqueue queues an attempt by priority, or returns the reason for refusing it.
func (e *Engine) enqueue(a upstream.Attempt) (*attemptRun, upstream.RefusalReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready := e.serving[a.Chat.Model]
	switch {
	case e.faults.Refuse != "":
		return nil, e.faults.Refuse
	case e.leaving:
		return nil, upstream.RefusedLeaving
	case !ready:
		return nil, upstream.RefusedNotServed
	case len(e.waiting) >= e.options.QueueLimit:
		return nil, upstream.RefusedFull
	}
	r := e.newRun(a)
	e.attempts[a.ID] = r
	e.requests[a.RequestID] = append(e.requests[a.RequestID], r)
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(x, y *attemptRun) int { return y.attempt.Priority - x.attempt.Priority })
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, ""
}

func (e *Engine) newRun(a upstream.Attempt) *attemptRun {
	profile := e.options.Profiles[a.Chat.Model]
	quality, ok := profile.Quality[a.Kind]
	if !ok {
		quality = profile.Quality[""]
	}
	r := &attemptRun{attempt: a, changed: make(chan struct{}), good: e.rng.Float64() < quality}
	count := cmp.Or(profile.Tokens, 16)
	if a.Chat.MaxTokens > 0 {
		count = min(count, a.Chat.MaxTokens)
	}
	r.words = answerWords(a, count, r.good)
	r.usage.PromptTokens = len(strings.Fields(promptText(a.Chat)))
	return r
}

// answerWords returns the words of an answer. The first names the model; the last is
// PoorMarker if the answer is bad.
func answerWords(a upstream.Attempt, count int, good bool) []string {
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%d ", i)
	}
	words[0] = fmt.Sprintf("[%s] ", a.Chat.Model)
	if !good {
		words[count-1] = PoorMarker
	}
	return words
}

func promptText(chat upstream.ChatRequest) string {
	var b strings.Builder
	for _, m := range chat.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.attempts[attempt]
	if !ok || r.ended() {
		return
	}
	r.cancelled = true
	r.notify()
}

// applyOrder executes an order to load or unload a version, or returns the reason for
// refusing it. A load finishes after LoadTime.
func (e *Engine) applyOrder(o upstream.Order) upstream.RefusalReason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing != "ignore" {
		if o.Fence < e.fence {
			return upstream.RefusedStaleFence
		}
		e.fence = o.Fence
	}
	e.orders++
	name := o.Model + "@" + o.Version
	if o.Action == upstream.OrderUnload {
		delete(e.serving, name)
		return ""
	}
	if _, known := e.options.Profiles[name]; !known {
		return upstream.RefusedNotServed
	}
	if _, loading := e.serving[name]; loading {
		return ""
	}
	e.serving[name] = false
	time.AfterFunc(time.Duration(e.options.LoadTime), func() { e.finishLoad(name) })
	return ""
}

func (e *Engine) finishLoad(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, wanted := e.serving[name]; wanted {
		e.serving[name] = true
	}
}

// delayedReport returns the load as it was ReportLag ago. Reports are recorded only when this
// is called, so the returned one is the newest that is old enough, or else the oldest.
func (e *Engine) delayedReport() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, e.currentReport())
	e.reportTimes = append(e.reportTimes, now)
	lag := time.Duration(e.options.ReportLag)
	for len(e.reports) > 1 && now.Sub(e.reportTimes[1]) >= lag {
		e.reports = e.reports[1:]
		e.reportTimes = e.reportTimes[1:]
	}
	report := e.reports[0]
	report.AgeMS = now.Sub(e.reportTimes[0]).Milliseconds()
	return report
}

func (e *Engine) currentReport() upstream.LoadReport {
	report := upstream.LoadReport{
		Instance:        e.options.Instance,
		Running:         len(e.running),
		Queued:          len(e.waiting),
		Slots:           e.options.Slots,
		TokensPerSecond: e.tokensPerSecond,
		Leaving:         e.leaving && !e.faults.HideLeaving,
		Fence:           e.fence,
	}
	for name, ready := range e.serving {
		model, version, _ := strings.Cut(name, "@")
		report.Versions = append(report.Versions, upstream.VersionLoad{Model: model, Version: version, Ready: ready})
	}
	slices.SortFunc(report.Versions, func(a, b upstream.VersionLoad) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return report
}

func (e *Engine) usage(request string) upstream.RequestUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := upstream.RequestUsage{RequestID: request}
	for _, r := range e.requests[request] {
		out.Attempts++
		out.Running = out.Running || !r.ended()
		if r.finished {
			out.Finished = true
			out.Usage = r.usage
			out.Attempt = r.attempt.ID
			out.Model = r.attempt.Chat.Model
		}
	}
	return out
}

// EngineCounts counts what an engine has done. Tests compare it with the responses that callers
// got and with the bills.
type EngineCounts struct {
	// Started and Finished count attempts by request ID.
	Started  map[string]int `json:"started"`
	Finished map[string]int `json:"finished"`
	// Versions counts attempts started by "model@version", and Prompts by the
	// text of the first message.
	Versions map[string]int `json:"versions"`
	Prompts  map[string]int `json:"prompts"`
	// FinishedPrompts counts finished attempts by the same text.
	FinishedPrompts map[string]int `json:"finished_prompts"`
	// Running counts attempts that have not ended.
	Running int `json:"running"`
	// Orders counts the orders that passed the check of their fencing tokens.
	Orders int `json:"orders"`
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := EngineCounts{
		Started:         map[string]int{},
		Finished:        map[string]int{},
		Versions:        map[string]int{},
		Prompts:         map[string]int{},
		FinishedPrompts: map[string]int{},
		Orders:          e.orders,
	}
	for _, r := range e.attempts {
		out.add(r)
	}
	return out
}

func (c *EngineCounts) add(r *attemptRun) {
	text := ""
	if len(r.attempt.Chat.Messages) > 0 {
		text = r.attempt.Chat.Messages[0].Content
	}
	c.Started[r.attempt.RequestID]++
	c.Versions[r.attempt.Chat.Model]++
	c.Prompts[text]++
	if r.finished {
		c.Finished[r.attempt.RequestID]++
		c.FinishedPrompts[text]++
	}
	if !r.ended() {
		c.Running++
	}
}

// SetLeaving makes the engine refuse new attempts.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}
