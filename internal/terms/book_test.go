package terms

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func set(organisation string, base int64, g Given, d time.Duration) Change {
	return Change{Organisation: organisation, Base: base, Given: g, ForMS: d.Milliseconds(), Who: "ada", Reason: "launch"}
}

// apply plans and merges a change at a time, and returns the version of the override.
func apply(t *testing.T, b *Book, c Change, now time.Time) int64 {
	t.Helper()
	o, err := b.Plan(c, now, now.UnixMilli())
	require.NoError(t, err)
	require.Len(t, b.Merge([]Override{o}, now), 1)
	return o.Version
}

// Guards against requests that are accepted although the division cannot keep them, and against
// errors that do not name the field.
func TestRefusedChangesNameTheField(t *testing.T) {
	b := NewBook(Declared{"north": given(1, 0.6, 0), "south": given(1, 0.3, 0.4)})
	long := fmt.Sprintf("%0300d", 0)
	for want, change := range map[string]Change{
		"for: 24h0m0.001s is more than 24h0m0s":                          set("south", 0, Given{}, MaxDuration+time.Millisecond),
		"for: must be above 0":                                           set("south", 0, Given{}, 0),
		"minimum: 0.5 is above the cap of 0.4":                           set("south", 0, given(1, 0.5, 0.4), time.Hour),
		"minimum: the minimums would be 1.1 together in 0s, more than 1": set("south", 0, given(1, 0.5, 0.5), time.Hour),
		"reason: missing":                                                {Organisation: "south", ForMS: 1},
		"reason: longer than 256 bytes":                                  {Organisation: "south", ForMS: 1, Reason: long},
		"organisation: missing":                                          {ForMS: 1, Reason: "r"},
		"weight: must be above 0":                                        set("south", 0, given(0, 0, 0), time.Hour),
		"for: 2562047h47m16.854s is more than 24h0m0s":                   {Organisation: "south", ForMS: 1 << 62, Reason: "r"},
	} {
		_, err := b.Plan(change, start, 1)
		require.EqualError(t, err, want)
		require.True(t, trace.IsBadParameter(err))
	}
	_, err := b.Plan(Change{Organisation: "south", Clear: true}, start, 1)
	require.True(t, trace.IsNotFound(err))
}

// Guards against minimums that exceed 1 only later, when an override ends before another one and
// the settings come back into force.
func TestMinimumsAreCheckedForTheWholeTime(t *testing.T) {
	b := NewBook(Declared{"north": given(1, 0.6, 0)})
	none, most := 0.0, 0.9
	version := apply(t, b, set("north", 0, Given{Minimum: &none}, time.Hour), start)
	_, err := b.Plan(set("south", 0, Given{Minimum: &most}, 2*time.Hour), start, 1)
	require.EqualError(t, err, "minimum: the minimums would be 1.5 together in 1h0m0s, more than 1")
	apply(t, b, set("south", 0, Given{Minimum: &most}, time.Hour), start)
	_, err = b.Plan(set("north", version, Given{}, time.Minute), start, 1)
	require.EqualError(t, err, "minimum: the minimums would be 1.5 together in 1m0s, more than 1")
	_, err = b.Plan(Change{Organisation: "north", Base: version, Clear: true}, start, 1)
	require.EqualError(t, err, "minimum: the minimums would be 1.5 together in 0s, more than 1")
}

// Guards against an operator's change that is overwritten by another who has not seen it.
func TestSecondOperatorIsTold(t *testing.T) {
	b := NewBook(nil)
	first := apply(t, b, set("north", 0, given(2, 0, 0), time.Hour), start)
	_, err := b.Plan(set("north", 0, given(3, 0, 0), time.Hour), start, 1)
	require.EqualError(t, err, fmt.Sprintf(`north: the override has changed: version %d was set by "ada" (launch)`, first))
	require.True(t, trace.IsCompareFailed(err))
	second := apply(t, b, set("north", first, Given{}, time.Minute), start)
	require.Greater(t, second, first, "also within the same millisecond")
	require.Equal(t, 2.0, b.InForce(start)["north"].Weight, "a value that is not given stays")
	_, err = b.Plan(Change{Organisation: "north", Base: second, Clear: true}, start.Add(time.Minute), 1)
	require.EqualError(t, err, fmt.Sprintf("north: the override has changed: version %d is no longer in force", second))
}

// Guards against terms that do not end, and against log lines that are missing, repeated or do not
// say why and by whom terms have ended.
func TestTermsEnd(t *testing.T) {
	b := NewBook(Declared{"north": given(1, 0.2, 0)})
	events := func(now time.Time, applies bool) (out []string) {
		for _, e := range b.Transitions(now, applies) {
			by := ""
			if e.By != nil {
				by = e.By.Who
			}
			out = append(out, fmt.Sprint(e.Organisation, " ", e.Weight, " ", e.Ended, by))
		}
		return out
	}
	require.Empty(t, events(start, false))
	require.Equal(t, []string{"north 1 "}, events(start, true))
	first := apply(t, b, set("north", 0, given(2, 0, 0), time.Hour), start)
	require.Equal(t, []string{"north 1 replacedada", "north 2 "}, events(start, true))
	require.Empty(t, events(start.Add(time.Hour-1), true))
	require.Equal(t, []string{"north 2 expired", "north 1 "}, events(start.Add(time.Hour), true))
	later := start.Add(2 * time.Hour)
	second := apply(t, b, set("north", 0, given(4, 0, 0), time.Hour), later)
	require.Len(t, events(later, true), 2)
	apply(t, b, Change{Organisation: "north", Base: second, Clear: true, Who: "bo"}, later)
	require.Equal(t, []string{"north 4 clearedbo", "north 1 "}, events(later, true))
	require.Equal(t, []string{"north 1 not_applied"}, events(later, false))
	require.Greater(t, second, first)
}

// Guards against books that differ by the order in which overrides arrive, and against an override
// that comes back from a peer that has missed the newer, shorter one.
func TestBooksConverge(t *testing.T) {
	source, now := NewBook(nil), start
	old := Override{Organisation: "north", Values: Values{Weight: 2}, Who: "ada", Reason: "r", Version: 5, Left: MaxDuration}
	newer := old
	newer.Version, newer.Left = 6, time.Hour
	source.Merge([]Override{old, newer, {Organisation: "south", Values: Values{Weight: 0.5}, Reason: "r", Version: 1, Left: time.Hour}}, now)
	for range 20 {
		all := append(source.Overrides(now), old)
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		other := NewBook(nil)
		for _, o := range all {
			other.Merge([]Override{o}, now)
		}
		require.Equal(t, source.Checksum(now), other.Checksum(now))
		require.Equal(t, source.InForce(now), other.InForce(now))
	}
	now = now.Add(MaxDuration - time.Second)
	late := old
	late.Age, late.Left = MaxDuration-time.Second, time.Second
	require.Empty(t, source.Merge([]Override{late}, now))
	require.Empty(t, source.InForce(now))
	now = now.Add(2 * time.Minute)
	require.Zero(t, source.Checksum(now), "forgotten in the end")
	require.Empty(t, source.Merge([]Override{{Organisation: "bad", Reason: "r", Left: time.Hour}}, now), "malformed")
}

// Guards against a book that grows without a bound.
func TestOverridesAreBounded(t *testing.T) {
	b := NewBook(nil)
	for i := range maxOverrides {
		b.Merge([]Override{{Organisation: fmt.Sprint(i), Values: DefaultValues, Reason: "r", Version: 1, Left: time.Hour}}, start)
	}
	_, err := b.Plan(set("one more", 0, Given{}, time.Hour), start, 1)
	require.EqualError(t, err, "organisation: 200 overrides were set within 24h0m0s, which is the most")
	require.Empty(t, b.Merge([]Override{{Organisation: "x", Values: DefaultValues, Reason: "r", Version: 1, Left: 1}}, start))
	apply(t, b, set("one more", 0, Given{}, time.Hour), start.Add(KeepTime+1))
}
