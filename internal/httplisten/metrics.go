package httplisten

import "sync/atomic"

// Metrics counts the connections that a daemon closed. Several listeners may share it.
type Metrics struct {
	// Idle, Slow and Stopped count those closed after the idle timeout, after the header timeout, and
	// by a planned stop. Unread counts closes that were put off since bytes had arrived, and NotBegun
	// requests that were read while their connection was being closed. NotWritten counts answers that
	// could not be written.
	Idle, Slow, Stopped, Unread, NotBegun, NotWritten atomic.Int64
	// Evicted counts connections closed to make room for others, LongHeads those whose request head exceeded
	// its limit, HeadMemory those refused or closed since there was no memory for their head, and Unfinished
	// those closed since the rest of a refused body did not arrive.
	Evicted, LongHeads, HeadMemory, Unfinished atomic.Int64
	// Ahead counts requests that waited for their turn since they were sent before the answer to the one before.
	Ahead atomic.Int64
}

// Vars are the counters of Metrics in /debug/vars.
type Vars struct {
	Idle     int64 `json:"idle"`
	Slow     int64 `json:"slow_header"`
	Stopped  int64 `json:"stopped"`
	Unread   int64 `json:"put_off"`
	NotBegun int64 `json:"requests_not_begun"`
	// NotWritten also counts callers that left.
	NotWritten int64 `json:"answers_not_written"`
	Evicted    int64 `json:"evicted"`
	LongHeads  int64 `json:"long_heads"`
	HeadMemory int64 `json:"no_head_memory"`
	Unfinished int64 `json:"unfinished_bodies"`
	Ahead      int64 `json:"waited_sent_ahead"`
}

// Vars returns the current values of the counters.
func (m *Metrics) Vars() Vars {
	return Vars{
		Idle: m.Idle.Load(), Slow: m.Slow.Load(), Stopped: m.Stopped.Load(), Unread: m.Unread.Load(), NotBegun: m.NotBegun.Load(),
		NotWritten: m.NotWritten.Load(), Evicted: m.Evicted.Load(), LongHeads: m.LongHeads.Load(), HeadMemory: m.HeadMemory.Load(),
		Unfinished: m.Unfinished.Load(), Ahead: m.Ahead.Load(),
	}
}
