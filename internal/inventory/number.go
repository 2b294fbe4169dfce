package inventory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Number stands for one life of an instance in what daemons tell each other: a hash
// of its ID and Born, so that all have the same one without a shared list. Two instances of a
// large fleet may share a number, seldom; they then count as equally busy.
type Number uint32

// Number returns the instance's number.
func (i Instance) Number() Number {
	h := xxhash.New()
	_, _ = h.WriteString(i.ID)
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(i.Born))
	_, _ = h.Write(born[:])
	return Number(h.Sum64())
}
