package peer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Work must survive encoding, in fewer than 8 bytes per instance. Negative values become 0,
// and truncated input yields only the complete records.
func TestPackWorkRoundTrip(t *testing.T) {
	w := inventory.Work{1: {Waiting: 1500, Open: 3}, math.MaxUint32: {Waiting: 400_000, Open: 0}}
	packed := PackWork(w)
	require.Equal(t, w, UnpackWork(packed))
	require.Less(t, len(packed), 8*len(w))
	require.Equal(t, inventory.Work{7: {}}, UnpackWork(PackWork(inventory.Work{7: {Waiting: -1, Open: -1}})))
	for n := range packed {
		require.LessOrEqual(t, len(UnpackWork(packed[:n])), 1, "cut after %d bytes", n)
	}
}

// Prefixes must survive encoding, and an incomplete last record is ignored.
func TestPackReadingsRoundTrip(t *testing.T) {
	all := []inventory.CachedPrefix{{Key: 1, Instance: 2}, {Key: math.MaxUint32, Instance: math.MaxUint32}}
	packed := PackPrefixes(all)
	require.Equal(t, all, UnpackPrefixes(packed))
	require.Len(t, packed, 2*PrefixBytes)
	require.Equal(t, all[:1], UnpackPrefixes(packed[:len(packed)-1]))
}
