package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against runs that do not continue a stream, and against sound ones that are taken for such.
func TestEventsOfAllRunsFollowEachOther(t *testing.T) {
	for name, c := range map[string]struct {
		after string
		// step is that of the route's streams.
		step uint64
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
		"by the caller, skips one":   {after: "5", step: 1, runs: [][]string{{"7"}}},
		"by the caller, route known": {after: "5", step: 1, runs: [][]string{{"6", "7"}}, ok: true},
		"route known, begins later":  {step: 1, runs: [][]string{{"3", "4"}, {"5"}}, ok: true},
		"names":                      {runs: [][]string{{"b", "a"}, {"c"}}, ok: true},
		"names, the last once more":  {runs: [][]string{{"b", "a"}, {"a"}}},
		"first events without an ID": {runs: [][]string{{"", "1", "2"}, {"", "3"}}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEventSequence(c.after, c.step)
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
	s := newEventSequence("", 0)
	require.True(t, s.mayResume())
	require.NoError(t, s.add(event{id: "1", hasData: true}))
	require.NoError(t, s.add(event{}), "a comment")
	require.True(t, s.mayResume())
	require.NoError(t, s.add(event{hasData: true}))
	require.False(t, s.mayResume())
}

// Guards against sound runs that count as failed because another stream of the route had other steps, and
// against steps that are taken from too few streams.
func TestStepOfRouteIsThatOfAllItsStreams(t *testing.T) {
	steps := newStepTable()
	stream := func(ids ...string) *eventSequence {
		s := newEventSequence("", 0)
		for _, id := range ids {
			require.NoError(t, s.add(event{id: id}))
		}
		return &s
	}
	for range minStepStreams {
		require.Zero(t, steps.of("notes"))
		steps.note("notes", stream("1", "2", "3"))
		steps.note("notes", stream("1"))
	}
	require.Equal(t, uint64(1), steps.of("notes"))
	require.Zero(t, steps.of("other"))
	steps.note("notes", stream("1", "2", "4"))
	require.Zero(t, steps.of("notes"))
}
