package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Loss reports must survive encoding in at most LossBytes each. An age beyond the range becomes
// the longest one, and truncated input yields only the complete reports.
func TestPackLossesRoundTrip(t *testing.T) {
	all := []inventory.LossReport{
		{Instance: 1, Lost: true, LossAge: 1500 * time.Millisecond, Counted: true, CountAge: 20 * time.Millisecond, Sound: 119},
		{Instance: 2, Sound: 300},
	}
	packed := PackLosses(all)
	require.Equal(t, all, UnpackLosses(packed))
	require.LessOrEqual(t, len(packed), 2*LossBytes)
	for n := range packed {
		require.LessOrEqual(t, len(UnpackLosses(packed[:n])), 1, "cut after %d bytes", n)
	}
	old := UnpackLosses(PackLosses([]inventory.LossReport{{Lost: true, LossAge: time.Hour, Sound: 1 << 30}}))
	require.Equal(t, []inventory.LossReport{{Lost: true, LossAge: maxLossAge * lossUnit, Sound: maxSound}}, old)
}
