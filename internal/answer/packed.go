package answer

import (
	"strings"

	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// packed is a compact form of the events of an ended answer: their concatenated
// text and the offset in it at which each event ends. A slice of events uses
// several times the memory of its text.
type packed struct {
	text         string
	endOffsets   []uint32
	finishReason string
	usage        *upstream.Usage
}

// eventOverheadBytes is the size of an element of packed.endOffsets.
// answerOverheadBytes is the memory that an answer uses besides its text and
// offsets.
const (
	eventOverheadBytes  = 4
	answerOverheadBytes = 512
)

// pack returns the compact form of events.
func pack(events []Event) *packed {
	p := &packed{endOffsets: make([]uint32, len(events))}
	var text strings.Builder
	for i, e := range events {
		text.WriteString(e.Delta)
		p.endOffsets[i] = uint32(text.Len())
		if e.FinishReason != "" {
			p.finishReason, p.usage = e.FinishReason, e.Usage
		}
	}
	p.text = strings.Clone(text.String()) // without the unused capacity of the builder
	return p
}

// unpack returns the events with their offsets.
func (p *packed) unpack() []Event {
	out := make([]Event, len(p.endOffsets))
	start := uint32(0)
	for i, end := range p.endOffsets {
		out[i] = Event{Offset: i, Delta: p.text[start:end]}
		start = end
	}
	if p.finishReason != "" {
		out[len(out)-1].FinishReason, out[len(out)-1].Usage = p.finishReason, p.usage
	}
	return out
}

// memoryBytes returns the approximate memory use of the answer.
func (p *packed) memoryBytes() int {
	return len(p.text) + len(p.endOffsets)*eventOverheadBytes + answerOverheadBytes
}
