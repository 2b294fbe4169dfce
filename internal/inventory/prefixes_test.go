package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// prefixes returns prefixes with enough work to be sent to peers.
func prefixes(keys ...PrefixHash) []Prefix {
	var out []Prefix
	for i, key := range keys {
		out = append(out, Prefix{Key: key, Work: float64(i+1) * minGossipWork})
	}
	return out
}

// A daemon that repeatedly sends the same prompt to the same instance must report it to its
// peers once, and again only when they would soon forget it.
func TestCachedPrefixesAreAnnouncedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewPrefixIndex(clock), NewPrefixIndex(clock)
	a := instance("a")
	for range 10 {
		one.NoteSent(a, prefixes(7, 8))
	}
	pending := one.TakePending()
	require.Equal(t, []CachedPrefix{{Key: 7, Instance: a.Hash()}, {Key: 8, Instance: a.Hash()}}, pending)
	require.Empty(t, one.TakePending())
	two.Merge(pending)
	require.Empty(t, two.TakePending(), "prefixes from a peer are not passed on")
	require.Equal(t, 2, two.CachedCount(a.Hash(), prefixes(7, 8)))
	clock.Advance(cacheTime/2 + time.Second)
	require.Equal(t, 2, two.CachedCount(a.Hash(), prefixes(7, 8)))
	one.NoteSent(a, prefixes(7))
	require.Len(t, one.TakePending(), 1)
	clock.Advance(cacheTime/2 + time.Second)
	require.Zero(t, two.CachedCount(a.Hash(), prefixes(7, 8)))
	require.Equal(t, 1, one.CachedCount(a.Hash(), prefixes(7, 8)))
}

// Every prompt of a route starts with the same prefix, which nearly every instance has cached.
// If the index kept a limited number of instances per prefix, for example four, each send to
// another instance would be reported to all daemons, and an instance with the whole prompt
// cached would count as having none of it.
func TestCommonPrefixesAreTrackedAtAllInstances(t *testing.T) {
	p := NewPrefixIndex(clockwork.NewFakeClock())
	const instances, common = 40, PrefixHash(1)
	for range 3 {
		for i := range instances {
			p.NoteSent(instance(fmt.Sprint(i)), prefixes(common, PrefixHash(100+i)))
		}
	}
	require.Len(t, p.TakePending(), 2*instances)
	for i := range instances {
		require.Equal(t, 2, p.CachedCount(instance(fmt.Sprint(i)).Hash(), prefixes(common, PrefixHash(100+i))))
	}
}

// Prefixes that an engine reads in a few milliseconds do not affect the placement, so daemons
// must not report them to each other.
func TestShortPrefixesAreNotAnnounced(t *testing.T) {
	p := NewPrefixIndex(clockwork.NewFakeClock())
	short := []Prefix{{Key: 1, Work: minGossipWork / 2}, {Key: 2, Work: minGossipWork - 1}}
	p.NoteSent(instance("a"), short)
	require.Empty(t, p.TakePending())
	require.Equal(t, 2, p.CachedCount(instance("a").Hash(), short))
}

// The index must stay bounded, and a restarted instance must have no cached prefixes.
func TestCachedPrefixesAreBounded(t *testing.T) {
	p := NewPrefixIndex(clockwork.NewFakeClock())
	a, again := instance("a"), instance("a")
	again.Born = 9
	for key := range PrefixHash(maxPrefixes + 10) {
		p.NoteSent(a, prefixes(key))
	}
	require.LessOrEqual(t, len(p.current), maxPrefixes)
	require.LessOrEqual(t, len(p.previous), maxPrefixes)
	require.LessOrEqual(t, len(p.TakePending()), maxPending)
	require.Equal(t, 1, p.CachedCount(a.Hash(), prefixes(maxPrefixes+9)))
	require.Zero(t, p.CachedCount(again.Hash(), prefixes(maxPrefixes+9)))
}
