package peer

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DaemonHash identifies an incarnation of a daemon in LateLevels. Two daemons may rarely have the
// same one; they then count as equally slow.
type DaemonHash uint32

// HashDaemon returns the hash of an incarnation.
func HashDaemon(incarnation string) DaemonHash { return DaemonHash(xxhash.Sum64String(incarnation)) }

// LateLevels has how slow daemons are, without those that are not.
type LateLevels map[DaemonHash]uint8

const (
	// lateBytes is the encoded length of a level, and maxLateLevels the number of levels in a
	// message, the highest ones.
	lateBytes     = 5
	maxLateLevels = 256
	// lateFormat is the first byte of the encoding. Gob leaves out empty fields, and a message
	// without levels differs from one that says that no daemon is slow.
	lateFormat = 1
)

// PackLate returns the encoding of levels.
func PackLate(levels LateLevels) []byte {
	daemons := slices.SortedFunc(maps.Keys(levels), func(a, b DaemonHash) int {
		return cmp.Or(cmp.Compare(levels[b], levels[a]), cmp.Compare(a, b))
	})
	out := []byte{lateFormat}
	for _, d := range daemons[:min(len(daemons), maxLateLevels)] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(d)), levels[d])
	}
	return out
}

// UnpackLate decodes the output of PackLate. ok is false if the message has no levels.
func UnpackLate(packed []byte) (levels LateLevels, ok bool) {
	if len(packed) == 0 || packed[0] != lateFormat {
		return nil, false
	}
	levels = LateLevels{}
	for packed = packed[1:]; len(packed) >= lateBytes; packed = packed[lateBytes:] {
		levels[DaemonHash(binary.BigEndian.Uint32(packed))] = packed[lateBytes-1]
	}
	return levels, true
}
