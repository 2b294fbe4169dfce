package peer

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// LearnedRequest asks a peer for what it has learned from requests. The sender has just started.
type LearnedRequest struct{ From string }

// Learned is what a daemon has learned from requests and from the survey of the engines.
type Learned struct {
	// Uptime is the time since the sender started.
	Uptime time.Duration
	Values cascade.Learned
	// Prefixes are the prompt prefixes that instances probably cache, encoded by PackPrefixes.
	Prefixes []byte
	// Survey is what engines said when they were asked, encoded by PackSurvey.
	Survey []byte
}

// Learned returns what this daemon has learned.
func (s *routesService) Learned(in LearnedRequest, out *Learned) error {
	*out = s.handler.OnLearned(in)
	return nil
}

// Learned fetches what a peer has learned. Older daemons answer with an error.
func (c *Client) Learned(ctx context.Context, address string, r LearnedRequest) (Learned, error) {
	return callService[Learned](ctx, c, address, routesName, "Learned", r)
}

// PackSurvey returns the encoding of states of engines: for each, the instance, the numbers of
// requests and of parts as varints, and 4 bytes for each part.
func PackSurvey(all []inventory.Surveyed) []byte {
	var out []byte
	for _, s := range all {
		out = appendSurveyed(out, s)
	}
	return out
}

func appendSurveyed(out []byte, s inventory.Surveyed) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(s.Instance))
	for _, n := range []int{s.Running, s.Waiting, len(s.Parts)} {
		out = binary.AppendUvarint(out, uint64(max(n, 0)))
	}
	for _, key := range s.Parts {
		out = binary.BigEndian.AppendUint32(out, uint32(key))
	}
	return out
}

// SurveyedBytes returns the encoded length of the state of one engine.
func SurveyedBytes(s inventory.Surveyed) int { return len(appendSurveyed(nil, s)) }

// UnpackSurvey decodes the output of PackSurvey. If the input is truncated, it returns the complete
// records before the cut.
func UnpackSurvey(packed []byte) []inventory.Surveyed {
	var out []inventory.Surveyed
	for len(packed) > instanceBytes {
		s := inventory.Surveyed{Instance: inventory.InstanceHash(binary.BigEndian.Uint32(packed))}
		packed = packed[instanceBytes:]
		var numbers [3]uint64
		for i := range numbers {
			v, n := binary.Uvarint(packed)
			if n <= 0 {
				return out
			}
			numbers[i], packed = v, packed[n:]
		}
		if numbers[2] > uint64(len(packed)/keyBytes) {
			return out
		}
		const most = 1 << 20
		s.Running, s.Waiting = int(min(numbers[0], most)), int(min(numbers[1], most))
		for range numbers[2] {
			s.Parts = append(s.Parts, inventory.PrefixHash(binary.BigEndian.Uint32(packed)))
			packed = packed[keyBytes:]
		}
		out = append(out, s)
	}
	return out
}
