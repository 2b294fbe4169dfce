package peer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// Samples must survive encoding, in 6 bytes each and within some percent. Values out of range,
// from a faulty or newer peer, must not become wild ones.
func TestPackSpeedsRoundTrip(t *testing.T) {
	all := inventory.Speeds{
		1: {Factor: 6, Weight: 1}, 2: {Factor: 0.6, Weight: 200}, math.MaxUint32: {Factor: 16, Weight: 5000},
		4: {Factor: 1.0 / 16, Weight: 0.07}, 5: {Factor: 1, Weight: 3},
	}
	packed := PackSpeeds(all)
	require.Len(t, packed, 6*len(all))
	got := UnpackSpeeds(packed)
	require.Len(t, got, len(all))
	for instance, s := range all {
		require.InEpsilon(t, s.Factor, got[instance].Factor, 0.02)
		require.InEpsilon(t, s.Weight, got[instance].Weight, 0.05)
	}
	require.Empty(t, PackSpeeds(inventory.Speeds{1: {Factor: 0, Weight: 1}, 2: {Factor: math.NaN(), Weight: 1}, 3: {Factor: 1, Weight: 0}}))
	require.LessOrEqual(t, UnpackSpeeds(PackSpeeds(inventory.Speeds{1: speed.Sample{Factor: math.Inf(1), Weight: 1}}))[1].Factor, 20.0)
	require.Empty(t, UnpackSpeeds(packed[:speedBytes-1]))
}
