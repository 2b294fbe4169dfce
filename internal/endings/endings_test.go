package endings

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Guards against crashes that pass for planned ends, and planned ends that pass for crashes.
func TestOnlyAnInstanceWithNothingElseUnderWayEndsAsPlanned(t *testing.T) {
	const one, other = inventory.InstanceHash(1), inventory.InstanceHash(2)
	clock := clockwork.NewFakeClock()
	log := NewLog(clock)
	require.True(t, log.Of(one).IsIdle(0))
	log.Begin(one)
	log.Begin(other)
	require.True(t, log.Of(one).IsIdle(1))
	require.False(t, log.Of(one).IsIdle(0))
	log.Begin(one)
	require.False(t, log.Of(one).IsIdle(1))
	log.End(one, false)
	require.True(t, log.Of(one).IsIdle(1))
	log.Begin(one)
	log.End(one, true)
	require.False(t, log.Of(one).IsIdle(1))
	require.True(t, log.Of(other).IsIdle(1))
	clock.Advance(Window + time.Millisecond)
	require.True(t, log.Of(one).IsIdle(1))
}

// Guards against memory that grows with each instance that has ended.
func TestEndingsAreForgotten(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := NewLog(clock)
	for n := range 4 * maxInstances {
		log.Begin(inventory.InstanceHash(n))
		log.End(inventory.InstanceHash(n), true)
		clock.Advance(10 * time.Millisecond)
	}
	require.LessOrEqual(t, len(log.instances), maxInstances)
}
