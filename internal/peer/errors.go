package peer

import (
	"encoding/binary"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// errorReportBytes and errorStateBytes are the encoded lengths of an inventory.ErrorReport and
	// an inventory.ErrorState.
	errorReportBytes = instanceBytes + 2 + 2
	errorStateBytes  = instanceBytes + 2
	// lowBits is the part of a series or sum that is sent. The highest bit is First or Faulty.
	lowBits = 1<<15 - 1
)

// PackErrors returns the encoding of reports on the errors of instances: the hash of the instance,
// the series with a bit for its first reports, and the running total.
func PackErrors(all []inventory.ErrorReport) []byte {
	out := make([]byte, 0, errorReportBytes*len(all))
	for _, r := range all {
		series := r.Series & lowBits
		if r.First {
			series |= lowBits + 1
		}
		out = binary.BigEndian.AppendUint32(out, uint32(r.Instance))
		out = binary.BigEndian.AppendUint16(out, series)
		out = binary.BigEndian.AppendUint16(out, uint16(r.Evidence))
	}
	return out
}

// UnpackErrors decodes the output of PackErrors. It ignores an incomplete last record.
func UnpackErrors(packed []byte) []inventory.ErrorReport {
	var out []inventory.ErrorReport
	for ; len(packed) >= errorReportBytes; packed = packed[errorReportBytes:] {
		series := binary.BigEndian.Uint16(packed[instanceBytes:])
		out = append(out, inventory.ErrorReport{
			Instance: inventory.InstanceHash(binary.BigEndian.Uint32(packed)), Series: series & lowBits, First: series > lowBits,
			Evidence: int16(binary.BigEndian.Uint16(packed[instanceBytes+2:])),
		})
	}
	return out
}

// PackErrorStates returns the encoding of the sums over all daemons: the hash of the instance, and
// the sum with a bit for faulty instances.
func PackErrorStates(all []inventory.ErrorState) []byte {
	out := make([]byte, 0, errorStateBytes*len(all))
	for _, s := range all {
		sum := min(s.Sum, lowBits)
		if s.Faulty {
			sum |= lowBits + 1
		}
		out = binary.BigEndian.AppendUint32(out, uint32(s.Instance))
		out = binary.BigEndian.AppendUint16(out, sum)
	}
	return out
}

// UnpackErrorStates decodes the output of PackErrorStates. It ignores an incomplete last record.
func UnpackErrorStates(packed []byte) []inventory.ErrorState {
	var out []inventory.ErrorState
	for ; len(packed) >= errorStateBytes; packed = packed[errorStateBytes:] {
		sum := binary.BigEndian.Uint16(packed[instanceBytes:])
		out = append(out, inventory.ErrorState{
			Instance: inventory.InstanceHash(binary.BigEndian.Uint32(packed)), Sum: sum & lowBits, Faulty: sum > lowBits,
		})
	}
	return out
}
