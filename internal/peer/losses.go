package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// lossUnit is the resolution of the ages in encoded loss reports. The longest age is
	// maxLossAge units, 327 s; losses matter for one minute.
	lossUnit   = 5 * time.Millisecond
	maxLossAge = math.MaxUint16 - 1
	// noLoss is encoded in place of an age if there is no loss.
	noLoss = math.MaxUint16
	// lossHeadBytes is the encoded length of a report without its count, which takes one byte for
	// fewer than 128 answers and never more than two.
	lossHeadBytes = instanceBytes + 2 + 2
	// LossBytes is the longest encoded length of an inventory.LossReport.
	LossBytes = lossHeadBytes + 2
	// maxSound is the highest encoded count. Far fewer answers make an instance proven.
	maxSound = 1<<14 - 1
)

// PackLosses returns the encoding of reports on the answers that instances have lost: the hash of
// the instance, the age of the sender's loss, the age of the loss from which the sender counts
// whole answers, and their number.
func PackLosses(all []inventory.LossReport) []byte {
	out := make([]byte, 0, LossBytes*len(all))
	for _, r := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(r.Instance))
		out = binary.BigEndian.AppendUint16(out, packLossAge(r.Lost, r.LossAge))
		out = binary.BigEndian.AppendUint16(out, packLossAge(r.Counted, r.CountAge))
		out = binary.AppendUvarint(out, uint64(min(max(r.Sound, 0), maxSound)))
	}
	return out
}

// UnpackLosses decodes the output of PackLosses. If the input is truncated, it returns the complete
// reports before the cut.
func UnpackLosses(packed []byte) []inventory.LossReport {
	var out []inventory.LossReport
	for len(packed) > lossHeadBytes {
		sound, n := binary.Uvarint(packed[lossHeadBytes:])
		if n <= 0 {
			break
		}
		r := inventory.LossReport{Instance: inventory.InstanceHash(binary.BigEndian.Uint32(packed)), Sound: int(min(sound, maxSound))}
		r.Lost, r.LossAge = unpackLossAge(packed[instanceBytes:])
		r.Counted, r.CountAge = unpackLossAge(packed[instanceBytes+2:])
		out = append(out, r)
		packed = packed[lossHeadBytes+n:]
	}
	return out
}

func packLossAge(lost bool, age time.Duration) uint16 {
	if !lost {
		return noLoss
	}
	return uint16(min(max(age, 0)/lossUnit, maxLossAge))
}

func unpackLossAge(packed []byte) (lost bool, age time.Duration) {
	units := binary.BigEndian.Uint16(packed)
	if units == noLoss {
		return false, 0
	}
	return true, time.Duration(units) * lossUnit
}
