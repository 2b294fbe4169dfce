package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against runs that do not continue a stream, and against sound ones that are taken for such.
func TestEventsOfAllRunsFollowEachOther(t *testing.T) {
	known := routeStep{streams: minStepStreams, step: 1}
	for name, c := range map[string]struct {
		after string
		// route is what is known of the route's streams.
		route routeStep
		// runs are the IDs of the events of each run. All but the last ID are in order.
		runs [][]string
		ok   bool
	}{
		"whole":                      {runs: [][]string{{"1", "2", "3"}}, ok: true},
		"resumed":                    {runs: [][]string{{"1", "2"}, {"3", "4"}, {"5"}}, ok: true},
		"begins anew":                {runs: [][]string{{"1", "2"}, {"1"}}},
		"begins with the last":       {runs: [][]string{{"1", "2"}, {"2"}}},
		"skips one":                  {runs: [][]string{{"1", "2"}, {"4"}}},
		"skips one, resumed twice":   {runs: [][]string{{"1", "2"}, {"3"}, {"5"}}},
		"goes back within a run":     {runs: [][]string{{"1", "2", "3", "2"}}},
		"comes twice within a run":   {runs: [][]string{{"1", "2", "2"}}},
		"numbers of tokens":          {runs: [][]string{{"3", "6", "9"}, {"12", "14"}}, ok: true},
		"numbers of tokens, skips":   {runs: [][]string{{"3", "6", "9"}, {"15"}}},
		"uneven numbers":             {runs: [][]string{{"1", "4", "5"}, {"9"}}, ok: true},
		"uneven numbers go back":     {runs: [][]string{{"1", "4", "5"}, {"4"}}},
		"one event, then skips":      {runs: [][]string{{"1"}, {"3"}}},
		"one event of some tokens":   {runs: [][]string{{"3"}, {"6"}}, ok: true},
		"from another number on":     {runs: [][]string{{"100", "101"}, {"103"}}},
		"from 0 on":                  {runs: [][]string{{"0"}, {"1", "2"}, {"3"}}, ok: true},
		"as text, 10 after 9":        {runs: [][]string{{"8", "9"}, {"10"}}, ok: true},
		"with blanks":                {runs: [][]string{{" 1", " 2"}, {" 2"}}},
		"by the caller":              {after: "5", runs: [][]string{{"6", "7"}}, ok: true},
		"by the caller, anew":        {after: "5", runs: [][]string{{"1"}}},
		"by the caller, then skips":  {after: "5", runs: [][]string{{"6", "7"}, {"9"}}},
		"by the caller, skips one":   {after: "5", route: known, runs: [][]string{{"7"}}},
		"by the caller, route known": {after: "5", route: known, runs: [][]string{{"6", "7"}}, ok: true},
		"route known, begins later":  {route: known, runs: [][]string{{"3", "4"}, {"5"}}, ok: true},
		"one event, steps of tokens": {route: routeStep{streams: minStepStreams, step: 3}, runs: [][]string{{"1"}, {"4"}}, ok: true},
		"one event, uneven steps":    {route: routeStep{streams: minStepStreams, varies: true}, runs: [][]string{{"1"}, {"4"}}, ok: true},
		"names":                      {runs: [][]string{{"b", "a"}, {"c"}}, ok: true},
		"names, the last once more":  {runs: [][]string{{"b", "a"}, {"a"}}},
		"first events without an ID": {runs: [][]string{{"", "1", "2"}, {"", "3"}}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEventSequence(c.after, c.route)
			for i, run := range c.runs {
				s.beginRun()
				for n, id := range run {
					err := s.add(event{id: id})
					if isLast := i == len(c.runs)-1 && n == len(run)-1; isLast && !c.ok {
						require.ErrorIs(t, err, errOutOfOrder)
						continue
					}
					require.NoError(t, err)
				}
			}
		})
	}
}

// Guards against streams that begin anew because an event with data has no ID after which to resume.
func TestDataWithoutIDEndsResumption(t *testing.T) {
	s := newEventSequence("", routeStep{})
	require.True(t, s.mayResume())
	require.NoError(t, s.add(event{id: "1", hasData: true}))
	require.NoError(t, s.add(event{}), "a comment")
	require.True(t, s.mayResume())
	require.NoError(t, s.add(event{hasData: true}))
	require.False(t, s.mayResume())
	require.NoError(t, s.add(event{id: "2", hasData: true}))
	require.True(t, s.mayResume(), "after an event with an ID")
}

// Guards against sound runs that count as failed because another stream of the route had other steps, and
// against steps that are taken from too few streams.
func TestStepOfRouteIsThatOfAllItsStreams(t *testing.T) {
	steps := newStepTable()
	assumedAfter := func(r routeStep) uint64 {
		s := newEventSequence("5", r)
		return s.assumed
	}
	stream := func(ids ...string) *eventSequence {
		s := newEventSequence("", routeStep{})
		for _, id := range ids {
			require.NoError(t, s.add(event{id: id}))
		}
		return &s
	}
	for range minStepStreams {
		require.Zero(t, assumedAfter(steps.of("notes")))
		steps.note("notes", stream("1", "2", "3"))
		steps.note("notes", stream("1"))
	}
	require.Equal(t, uint64(1), assumedAfter(steps.of("notes")))
	require.Zero(t, assumedAfter(steps.of("other")))
	steps.note("notes", stream("1", "2", "4"))
	require.Zero(t, assumedAfter(steps.of("notes")))
}
