package inventory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// InstanceHash identifies one incarnation of an instance in messages between daemons. It is a
// hash of ID and Born, so that all daemons compute the same value without a shared list. In a
// large fleet two instances may rarely have the same hash; they are then counted as equally
// busy.
type InstanceHash uint32

// Hash returns the hash of the instance's ID and Born.
func (i Instance) Hash() InstanceHash {
	h := xxhash.New()
	_, _ = h.WriteString(i.ID)
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(i.Born))
	_, _ = h.Write(born[:])
	return InstanceHash(h.Sum64())
}
