package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A daemon sends the same shared part to the same instance again and again. The
// others are told once, and again only when they would soon take it for forgotten.
func TestReadingsAreToldOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewPrompts(clock), NewPrompts(clock)
	a := instance("a")
	for range 10 {
		one.Sent(a, []PromptKey{7, 8})
	}
	told := one.Untold()
	require.Equal(t, []Reading{{Key: 7, ID: "a"}, {Key: 8, ID: "a"}}, told)
	require.Empty(t, one.Untold())
	two.Learn(told)
	require.Empty(t, two.Untold(), "what was told is not told on")
	require.Contains(t, two.Holders(7), "a")
	clock.Advance(holdTime/2 + time.Second)
	one.Sent(a, []PromptKey{7})
	require.Len(t, one.Untold(), 1)
	clock.Advance(holdTime)
	require.Empty(t, two.Holders(7))
}

// A part with much traffic is read by ever more instances. The table stays bounded:
// the instances that had it last are kept, and those of an earlier life are told apart.
func TestHoldersAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewPrompts(clock)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		p.Sent(instance(id), []PromptKey{1})
		clock.Advance(time.Second)
	}
	holders := p.Holders(1)
	require.Len(t, holders, maxHolders)
	require.Contains(t, holders, "f")
	require.NotContains(t, holders, "a")
	again := instance("f")
	again.Born = 9
	p.Sent(again, []PromptKey{1})
	require.Equal(t, int64(9), p.Holders(1)["f"])
	for key := range PromptKey(maxPrompts + 10) {
		p.Sent(instance("a"), []PromptKey{key})
	}
	require.LessOrEqual(t, len(p.holders), maxPrompts)
	require.LessOrEqual(t, len(p.Untold()), maxReadings)
}
