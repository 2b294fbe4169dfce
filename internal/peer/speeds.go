package peer

import (
	"encoding/binary"
	"math"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

const (
	// speedBytes is the encoded length of one sample: the instance, the factor and the weight.
	speedBytes = instanceBytes + 2
	// factorSteps is the number of steps in which a factor doubles, some 2% each. Factors from
	// 1/16 to 16 fit into a byte.
	factorSteps = 31.0
	// weightSteps is the number of steps in which a weight doubles. Weights start at 1/16.
	weightSteps  = 8.0
	weightOffset = 4.0
)

// PackSpeeds returns the encoding of samples of slowdown factors.
func PackSpeeds(s inventory.Speeds) []byte {
	var out []byte
	for instance, sample := range s {
		if !(sample.Factor > 0) || !(sample.Weight > 0) {
			continue
		}
		factor := min(max(math.Round(factorSteps*math.Log2(sample.Factor)), math.MinInt8), math.MaxInt8)
		weight := min(max(math.Round(weightSteps*(math.Log2(sample.Weight)+weightOffset)), 0), math.MaxUint8)
		out = binary.BigEndian.AppendUint32(out, uint32(instance))
		out = append(out, byte(int8(factor)), byte(weight))
	}
	return out
}

// UnpackSpeeds decodes the output of PackSpeeds. It ignores an incomplete last record.
func UnpackSpeeds(packed []byte) inventory.Speeds {
	out := make(inventory.Speeds, len(packed)/speedBytes)
	for ; len(packed) >= speedBytes; packed = packed[speedBytes:] {
		out[inventory.InstanceHash(binary.BigEndian.Uint32(packed))] = speed.Sample{
			Factor: math.Exp2(float64(int8(packed[instanceBytes])) / factorSteps),
			Weight: math.Exp2(float64(packed[instanceBytes+1])/weightSteps - weightOffset),
		}
	}
	return out
}
