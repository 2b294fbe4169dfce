package peer

import (
	"encoding/binary"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// FleetWork is the outstanding work of all daemons at upstream instances. The first reader of
// each group sends it to the others, and collects their work from the replies. As for a
// StoreUpdate, a group is the whole fleet or, in a large fleet, a failure domain; but here a
// smaller fleet already counts as large.
type FleetWork struct {
	// Amounts is the work per instance, encoded by PackWork.
	Amounts []byte
	// Readings are prompt prefixes that daemons recently sent to instances, encoded by
	// PackPrefixes.
	Readings []byte
	// Usage is the usage of services by all daemons, encoded by PackUsage; empty in most rounds.
	// WantUsage asks the receiver for its own.
	Usage     []byte
	WantUsage bool
	// Losses is what all daemons know of instances that have lost answers, encoded by PackLosses.
	Losses []byte
	// Errors is the evidence of all daemons on the errors of instances, encoded by PackErrorStates.
	Errors []byte
	// Speeds is the samples of the speed of instances, encoded by PackSpeeds; empty in most
	// messages.
	Speeds []byte
	// Survey is what engines said when they were asked, encoded by PackSurvey.
	Survey []byte
	// Late says which daemons are slow, encoded by PackLate; empty if this message does not.
	Late []byte
}

// DaemonWork is the reply to FleetWork: the outstanding work of one daemon, and the prompt
// prefixes that it sent to instances since its last reply, in the same encodings.
type DaemonWork struct {
	Incarnation string
	Amounts     []byte
	Readings    []byte
	// Usage is the usage of services by this daemon, if it was asked for.
	Usage  []byte
	Losses []byte
	// Errors is the sender's evidence on the errors of instances, encoded by PackErrors.
	Errors []byte
	Speeds []byte
	// Survey is what engines said that this daemon has asked, encoded by PackSurvey.
	Survey []byte
	// Late is how slow this daemon is; 0 is normal.
	Late uint8
}

// DomainWork is the outstanding work of all daemons of a failure domain, and prompt prefixes
// that they recently sent to instances, in the same encodings.
type DomainWork struct {
	Domain   string
	Amounts  []byte
	Readings []byte
	// Usage is the usage of services by these daemons; empty in most rounds.
	Usage  []byte
	Losses []byte
	// Errors is the sender's evidence on the errors of instances, encoded by PackErrors.
	Errors []byte
	Speeds []byte
	// Survey and Late are as in FleetWork, Late for the daemons of the failure domain.
	Survey []byte
	Late   []byte
}

// Work and prefixes have a compact encoding, because they make up most of the traffic between
// daemons: an amount takes about 6 bytes instead of 25 with gob, a prefix 8 instead of 35. On
// links of 10 Mbit/s the gob encoding delays the responses to callers.

// workResolution is the resolution of encoded work in prompt tokens. 50 tokens are a hundredth
// of a long prompt.
const workResolution = 50

// PackWork returns the encoding of w. Negative values are encoded as 0.
func PackWork(w inventory.Work) []byte {
	var out []byte
	for instance, a := range w {
		out = binary.BigEndian.AppendUint32(out, uint32(instance))
		out = binary.AppendUvarint(out, uint64(max(a.Waiting, 0)/workResolution))
		out = binary.AppendUvarint(out, uint64(max(a.Open, 0)))
	}
	return out
}

// UnpackWork decodes the output of PackWork. If the input is truncated, it returns the
// complete records before the cut.
func UnpackWork(packed []byte) inventory.Work {
	out := inventory.Work{}
	for len(packed) > instanceBytes {
		instance := inventory.InstanceHash(binary.BigEndian.Uint32(packed))
		waiting, n := binary.Uvarint(packed[instanceBytes:])
		if n <= 0 {
			break
		}
		open, m := binary.Uvarint(packed[instanceBytes+n:])
		if m <= 0 {
			break
		}
		out[instance] = inventory.Amount{Waiting: float64(waiting) * workResolution, Open: int(open)}
		packed = packed[instanceBytes+n+m:]
	}
	return out
}

const (
	// instanceBytes is the encoded length of an inventory.InstanceHash, keyBytes that of an
	// inventory.PrefixHash.
	instanceBytes = 4
	keyBytes      = 4
	// PrefixBytes is the encoded length of an inventory.CachedPrefix.
	PrefixBytes = keyBytes + instanceBytes
)

// PackPrefixes returns the encoding of prompt prefixes and the instances they were sent to.
func PackPrefixes(all []inventory.CachedPrefix) []byte {
	out := make([]byte, 0, PrefixBytes*len(all))
	for _, r := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(r.Key))
		out = binary.BigEndian.AppendUint32(out, uint32(r.Instance))
	}
	return out
}

// UnpackPrefixes decodes the output of PackPrefixes. It ignores an incomplete last record.
func UnpackPrefixes(packed []byte) []inventory.CachedPrefix {
	var out []inventory.CachedPrefix
	for ; len(packed) >= PrefixBytes; packed = packed[PrefixBytes:] {
		out = append(out, inventory.CachedPrefix{
			Key:      inventory.PrefixHash(binary.BigEndian.Uint32(packed)),
			Instance: inventory.InstanceHash(binary.BigEndian.Uint32(packed[keyBytes:])),
		})
	}
	return out
}
