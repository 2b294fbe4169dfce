package peer

import (
	"encoding/binary"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// GroupWork is what a reader tells the daemons of its group of the work at upstream
// instances.
type GroupWork struct {
	// Amounts are what all daemons have under way, packed.
	Amounts []byte
	// Readings are beginnings of prompts that daemons sent since the last time, packed.
	Readings []byte
}

// OwnWork is the answer: what one daemon has under way, and sent.
type OwnWork struct {
	Incarnation string
	Amounts     []byte
	Readings    []byte
}

// DomainWork is what the daemons of a failure domain have under way, and sent since
// the last time.
type DomainWork struct {
	Domain   string
	Amounts  []byte
	Readings []byte
}

// Work and readings are packed, since they are what daemons tell each other most of:
// gob took 25 bytes for an amount and 35 for a reading, 6 and 8 suffice. On links of 10
// Mbit/s that is the difference between callers who wait for news to pass and those who
// do not.

// workUnit is the precision of packed work, in prompt tokens: a hundredth of a
// long prompt.
const workUnit = 50

// PackWork returns the packed form of w.
func PackWork(w inventory.Work) []byte {
	var out []byte
	for instance, a := range w {
		out = binary.BigEndian.AppendUint32(out, uint32(instance))
		out = binary.AppendUvarint(out, uint64(max(a.Waiting, 0)/workUnit))
		out = binary.AppendUvarint(out, uint64(max(a.Open, 0)))
	}
	return out
}

// UnpackWork returns work from its packed form. Of a form that breaks off, what came
// before that counts.
func UnpackWork(packed []byte) inventory.Work {
	out := inventory.Work{}
	for len(packed) > numberBytes {
		instance := inventory.Number(binary.BigEndian.Uint32(packed))
		waiting, n := binary.Uvarint(packed[numberBytes:])
		if n <= 0 {
			break
		}
		open, m := binary.Uvarint(packed[numberBytes+n:])
		if m <= 0 {
			break
		}
		out[instance] = inventory.Amount{Waiting: float64(waiting) * workUnit, Open: int(open)}
		packed = packed[numberBytes+n+m:]
	}
	return out
}

const (
	// numberBytes is the length of a packed inventory.Number, keyBytes that of an
	// inventory.PromptKey.
	numberBytes = 4
	keyBytes    = 4
	// ReadingBytes is the length of a packed reading.
	ReadingBytes = keyBytes + numberBytes
)

// PackReadings returns the packed form of readings.
func PackReadings(all []inventory.Reading) []byte {
	out := make([]byte, 0, ReadingBytes*len(all))
	for _, r := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(r.Key))
		out = binary.BigEndian.AppendUint32(out, uint32(r.Instance))
	}
	return out
}

// UnpackReadings returns readings from their packed form.
func UnpackReadings(packed []byte) []inventory.Reading {
	var out []inventory.Reading
	for ; len(packed) >= ReadingBytes; packed = packed[ReadingBytes:] {
		out = append(out, inventory.Reading{
			Key:      inventory.PromptKey(binary.BigEndian.Uint32(packed)),
			Instance: inventory.Number(binary.BigEndian.Uint32(packed[keyBytes:])),
		})
	}
	return out
}
