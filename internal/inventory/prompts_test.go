package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// long returns beginnings that are worth telling of.
func long(keys ...PromptKey) []Beginning {
	var out []Beginning
	for i, key := range keys {
		out = append(out, Beginning{Key: key, Work: float64(i+1) * leastTold})
	}
	return out
}

// A daemon sends the same prompt to the same instance again and again. The others are
// told once, and again only when they would soon take it for forgotten.
func TestReadingsAreToldOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewPrompts(clock), NewPrompts(clock)
	a := instance("a")
	for range 10 {
		one.Sent(a, long(7, 8))
	}
	told := one.Untold()
	require.Equal(t, []Reading{{Key: 7, Instance: a.Number()}, {Key: 8, Instance: a.Number()}}, told)
	require.Empty(t, one.Untold())
	two.Learn(told)
	require.Empty(t, two.Untold(), "what was told is not told on")
	require.Equal(t, 2, two.Kept(a.Number(), long(7, 8)))
	clock.Advance(holdTime/2 + time.Second)
	require.Equal(t, 2, two.Kept(a.Number(), long(7, 8)))
	one.Sent(a, long(7))
	require.Len(t, one.Untold(), 1)
	clock.Advance(holdTime/2 + time.Second)
	require.Zero(t, two.Kept(a.Number(), long(7, 8)))
	require.Equal(t, 1, one.Kept(a.Number(), long(7, 8)))
}

// Every prompt of a route begins with the same words, which nearly every instance
// keeps. With four holders known at most, each send elsewhere was news to all daemons,
// and an instance that keeps a whole prompt was taken to keep none of it when it was
// not among the four.
func TestCommonBeginningsAreKnownEverywhere(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	const instances, common = 40, PromptKey(1)
	for range 3 {
		for i := range instances {
			p.Sent(instance(fmt.Sprint(i)), long(common, PromptKey(100+i)))
		}
	}
	require.Len(t, p.Untold(), 2*instances)
	for i := range instances {
		require.Equal(t, 2, p.Kept(instance(fmt.Sprint(i)).Number(), long(common, PromptKey(100+i))))
	}
}

// Prompts that an engine reads in a few milliseconds change no choice, and daemons do
// not tell each other of them.
func TestShortPromptsAreNoNews(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	short := []Beginning{{Key: 1, Work: leastTold / 2}, {Key: 2, Work: leastTold - 1}}
	p.Sent(instance("a"), short)
	require.Empty(t, p.Untold())
	require.Equal(t, 2, p.Kept(instance("a").Number(), short))
}

// The table stays bounded, and an instance that started again keeps nothing.
func TestReadingsAreBounded(t *testing.T) {
	p := NewPrompts(clockwork.NewFakeClock())
	a, again := instance("a"), instance("a")
	again.Born = 9
	for key := range PromptKey(maxReadings + 10) {
		p.Sent(a, long(key))
	}
	require.LessOrEqual(t, len(p.young), maxReadings)
	require.LessOrEqual(t, len(p.old), maxReadings)
	require.LessOrEqual(t, len(p.Untold()), maxUntold)
	require.Equal(t, 1, p.Kept(a.Number(), long(maxReadings+9)))
	require.Zero(t, p.Kept(again.Number(), long(maxReadings+9)))
}
