package peer

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

// An encoded capacity.Usage has the format byte, the number of daemons and the age in
// milliseconds, the keys of all organisations, and the services. A service has its key, its
// rates, the waiting requests and the loads of its organisations. An organisation is
// named there by its index, whose lowest bit tells that a rate of refused requests follows that of
// the demand. With 24 organisations at 6 services this takes 0.64 kB;
// gob takes 1.7 kB and more.

// usageFormat is the format byte. Daemons ignore usage of another format.
const usageFormat = 1

const (
	// rateBytes is the encoded length of a rate: the upper half of a float32, which has an error
	// below 0.4%. That is a tenth of the variation of the rates themselves.
	rateBytes = 2
	rateShift = 16
	// maxRate and maxCount bound decoded values, so that a damaged message cannot make sums
	// overflow.
	maxRate  = 1e9
	maxCount = 1 << 30
	// maxUsageOrganisations bounds the organisations of all services together.
	maxUsageOrganisations = capacity.MaxServices * (capacity.MaxOrganisations + 1)
)

// PackUsage returns the encoding of u, which must be within the bounds of capacity.Usage.Bounded.
func PackUsage(u capacity.Usage) []byte {
	index := map[capacity.Key]uint64{}
	for _, s := range u.Services {
		for key := range s.Organisations {
			index[key] = 0
		}
	}
	keys := slices.Sorted(maps.Keys(index))
	out := []byte{usageFormat}
	out = appendCount(out, u.Daemons)
	out = appendCount(out, int(u.Age.Milliseconds()))
	out = appendCount(out, len(keys))
	for i, key := range keys {
		index[key] = uint64(i)
		out = binary.BigEndian.AppendUint32(out, uint32(key))
	}
	out = appendCount(out, len(u.Services))
	for key, s := range u.Services {
		out = binary.BigEndian.AppendUint32(out, uint32(key))
		out = appendRate(out, s.Completed)
		out = appendRate(out, s.Requests)
		out = appendRate(out, s.Waiting)
		out = appendCount(out, len(s.Organisations))
		for organisation, l := range s.Organisations {
			refused := l.Refused > 0
			head := index[organisation] << 1
			if refused {
				head |= 1
			}
			out = binary.AppendUvarint(out, head)
			out = appendRate(out, l.Demand)
			if refused {
				out = appendRate(out, l.Refused)
			}
		}
	}
	return out
}

func appendCount(out []byte, n int) []byte {
	return binary.AppendUvarint(out, uint64(min(max(n, 0), maxCount)))
}

// appendRate appends a rate, rounded to the nearest encodable one.
func appendRate(out []byte, rate float64) []byte {
	if !(rate > 0) {
		rate = 0
	}
	bits := math.Float32bits(float32(min(rate, maxRate))) + 1<<(rateShift-1)
	return binary.BigEndian.AppendUint16(out, uint16(bits>>rateShift))
}

// UnpackUsage decodes the output of PackUsage. A truncated or damaged input is an error: part of
// the figures would look like a lack of demand, and the next message has all of them.
func UnpackUsage(packed []byte) (capacity.Usage, error) {
	r := usageReader{rest: packed}
	if format := r.take(1)[0]; format != usageFormat {
		return capacity.Usage{}, trace.BadParameter("usage has format %d", format)
	}
	out := capacity.Usage{Daemons: r.count(maxCount), Age: time.Duration(r.count(maxCount)) * time.Millisecond, Services: map[capacity.Key]capacity.ServiceUsage{}}
	keys := make([]capacity.Key, 0, capacity.MaxOrganisations)
	for range r.count(maxUsageOrganisations) {
		keys = append(keys, r.key())
	}
	for range r.count(capacity.MaxServices) {
		key := r.key()
		s := capacity.ServiceUsage{Completed: r.rate(), Requests: r.rate(), Waiting: r.rate()}
		organisations := r.count(capacity.MaxOrganisations + 1)
		s.Organisations = make(map[capacity.Key]capacity.Load, organisations)
		for range organisations {
			head := r.count(2 * maxUsageOrganisations)
			l := capacity.Load{Demand: r.rate()}
			if head&1 != 0 {
				l.Refused = r.rate()
			}
			if head>>1 >= len(keys) {
				r.damaged = true
				break
			}
			s.Organisations[keys[head>>1]] = l
		}
		out.Services[key] = s
	}
	if r.damaged {
		return capacity.Usage{}, trace.BadParameter("usage of %d bytes is truncated or damaged", len(packed))
	}
	return out, nil
}

// usageReader reads the parts of an encoded Usage. After an error it returns zero values.
type usageReader struct {
	rest    []byte
	damaged bool
}

func (r *usageReader) take(n int) []byte {
	if len(r.rest) < n {
		r.rest, r.damaged = nil, true
		return make([]byte, n)
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

// count reads a number, which may be at most limit.
func (r *usageReader) count(limit uint64) int {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > limit {
		r.rest, r.damaged = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return int(v)
}

func (r *usageReader) key() capacity.Key { return capacity.Key(binary.BigEndian.Uint32(r.take(4))) }

func (r *usageReader) rate() float64 {
	rate := math.Float32frombits(uint32(binary.BigEndian.Uint16(r.take(rateBytes))) << rateShift)
	if !(rate >= 0 && rate <= 2*maxRate) {
		r.damaged = true
		return 0
	}
	return float64(rate)
}
