package answer

import (
	"strings"

	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// packed is an ended answer in little memory: one text and where each event
// ends in it. An event of its own costs several times its text.
type packed struct {
	text   string
	ends   []uint32
	finish string
	usage  *upstream.Usage
}

// eventBytes is the memory of an entry of ends, and answerBytes that of an
// answer besides its text.
const (
	eventBytes  = 4
	answerBytes = 512
)

func pack(events []Event) *packed {
	p := &packed{ends: make([]uint32, len(events))}
	var text strings.Builder
	for i, e := range events {
		text.WriteString(e.Delta)
		p.ends[i] = uint32(text.Len())
		if e.FinishReason != "" {
			p.finish, p.usage = e.FinishReason, e.Usage
		}
	}
	p.text = strings.Clone(text.String())
	return p
}

func (p *packed) unpack() []Event {
	out := make([]Event, len(p.ends))
	start := uint32(0)
	for i, end := range p.ends {
		out[i] = Event{Offset: i, Delta: p.text[start:end]}
		start = end
	}
	if p.finish != "" {
		out[len(out)-1].FinishReason, out[len(out)-1].Usage = p.finish, p.usage
	}
	return out
}

func (p *packed) size() int { return len(p.text) + len(p.ends)*eventBytes + answerBytes }
