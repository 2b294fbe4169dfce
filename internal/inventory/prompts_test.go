package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// prefixes returns prefixes with enough work to be sent to peers.
func prefixes(keys ...PromptKey) []Beginning {
	var out []Beginning
	for i, key := range keys {
		out = append(out, Beginning{Key: key, Work: float64(i+1) * minGossipWork})
	}
	return out
}

// A daemon that repeatedly sends the same prompt to the same instance must report it to its
// peers once, and again only when they would soon forget it.
func TestCachedPrefixesAreAnnouncedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewPrompts(clock), NewPrompts(clock)
	a := instance("a")
	for range 10 {
		one.Sent(a, prefixes(7, 8))
	}
	pending := one.Untold()
	require.Equal(t, []Reading{{Key: 7, Instance: a.Number()}, {Key: 8, Instance: a.Number()}}, pending)
	require.Empty(t, one.Untold())
	two.Learn(pending)
	require.Empty(t, two.Untold(), "prefixes from a peer are not passed on")
	require.Equal(t, 2, two.Kept(a.Number(), prefixes(7, 8)))
	clock.Advance(cacheTime/2 + time.Second)
	require.Equal(t, 2, two.Kept(a.Number(), prefixes(7, 8)))
	one.Sent(a, prefixes(7))
	require.Len(t, one.Untold(), 1)
	clock.Advance(cacheTime/2 + time.Second)
	require.Zero(t, two.Kept(a.Number(), prefixes(7, 8)))
	require.Equal(t, 1, one.Kept(a.Number(), prefixes(7, 8)))
}

// Every prompt of a route starts with the same prefix, which nearly every instance has cached.
// If the index kept a limited number of instances per prefix, for example four, each send to
// another instance would be reported to all daemons, and an instance with the whole prompt
// cached would count as having none of it.
func TestCommonPrefixesAreTrackedAtAllInstances(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	const instances, common = 40, PromptKey(1)
	for range 3 {
		for i := range instances {
			p.Sent(instance(fmt.Sprint(i)), prefixes(common, PromptKey(100+i)))
		}
	}
	require.Len(t, p.Untold(), 2*instances)
	for i := range instances {
		require.Equal(t, 2, p.Kept(instance(fmt.Sprint(i)).Number(), prefixes(common, PromptKey(100+i))))
	}
}

// Prefixes that an engine reads in a few milliseconds do not affect the placement, so daemons
// must not report them to each other.
func TestShortPrefixesAreNotAnnounced(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	short := []Beginning{{Key: 1, Work: minGossipWork / 2}, {Key: 2, Work: minGossipWork - 1}}
	p.Sent(instance("a"), short)
	require.Empty(t, p.Untold())
	require.Equal(t, 2, p.Kept(instance("a").Number(), short))
}

// The index must stay bounded, and a restarted instance must have no cached prefixes.
func TestCachedPrefixesAreBounded(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	a, again := instance("a"), instance("a")
	again.Born = 9
	for key := range PromptKey(maxPrefixes + 10) {
		p.Sent(a, prefixes(key))
	}
	require.LessOrEqual(t, len(p.current), maxPrefixes)
	require.LessOrEqual(t, len(p.previous), maxPrefixes)
	require.LessOrEqual(t, len(p.Untold()), maxPending)
	require.Equal(t, 1, p.Kept(a.Number(), prefixes(maxPrefixes+9)))
	require.Zero(t, p.Kept(again.Number(), prefixes(maxPrefixes+9)))
}
