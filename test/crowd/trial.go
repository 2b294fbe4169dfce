package crowd

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// duration is how long a crowd is there before the process is asked for an answer beside it.
const duration = 3 * time.Second

// Trial is a process that faces a crowd, and what it may use.
type Trial struct {
	// PID is the ID of the process, and Addresses its listening addresses.
	PID       string
	Addresses []string

	MemoryMB, Descriptors int
	// RequireServed fails the test unless an ordinary request is answered.
	RequireServed func(when string)
}

// Rounds returns how often a test whose crowd uses ever new names measures the process: CROWD_ROUNDS, by default twice.
func Rounds(t *testing.T) int {
	t.Helper()
	text := os.Getenv("CROWD_ROUNDS")
	if text == "" {
		return 2
	}
	rounds, err := strconv.Atoi(text)
	require.NoError(t, err)
	return rounds
}

// Run requires that the process stays within its memory and descriptors while a crowd uses it, and answers an ordinary
// request beside the crowd and one afterwards.
func (x Trial) Run(t *testing.T, startCrowd func() (stop func())) {
	t.Helper()
	measured := Measure(x.PID, x.Addresses...)
	stopCrowd := startCrowd()
	time.Sleep(duration)
	x.RequireServed("beside the crowd")
	stopCrowd()
	x.RequireServed("after the crowd")
	peak := measured()
	t.Logf("resident %d MB, with unread bytes %d MB, %d descriptors", peak.ResidentMB, peak.WithUnreadMB, peak.Descriptors)
	require.Less(t, peak.ResidentMB, x.MemoryMB)
	require.Less(t, peak.WithUnreadMB, x.MemoryMB)
	require.LessOrEqual(t, peak.Descriptors, x.Descriptors)
}
