package inventory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against evidence that is lost with a message, counted twice after a change of the reader or
// of the sender's series, or sent back to the failure domain that it came from.
func TestErrorEvidenceIsCountedOnce(t *testing.T) {
	now := time.Now()
	sum := func(s *ErrorSum) uint16 {
		for _, state := range s.Fleet(nil, now, 10) {
			return state.Sum
		}
		return 0
	}
	s := NewErrorSum()
	require.Zero(t, sum(s))
	s.Add("a", []ErrorReport{{Instance: 5, Series: 1, First: true, Evidence: 20}}, now)
	s.Add("a", []ErrorReport{{Instance: 5, Series: 1, First: true, Evidence: 30}}, now)
	// Two reports are lost.
	s.Add("a", []ErrorReport{{Instance: 5, Series: 1, Evidence: 45}}, now)
	require.EqualValues(t, 45, sum(s))
	s.Add("a", []ErrorReport{{Instance: 5, Series: 2, First: true, Evidence: 15}}, now)
	s.AddDomain("far", []ErrorReport{{Instance: 5, Series: 9, First: true, Evidence: 5}}, now)
	require.EqualValues(t, 65, sum(s))
	require.EqualValues(t, 60, s.Group(10)[0].Evidence)

	known := s.Fleet(nil, now, 10)
	next := NewErrorSum()
	require.Equal(t, known, next.Fleet(known, now, 10))
	next.Add("a", []ErrorReport{{Instance: 5, Series: 2, Evidence: 15}}, now)
	next.Add("a", []ErrorReport{{Instance: 5, Series: 2, Evidence: -10}}, now)
	require.EqualValues(t, 40, sum(next))
	next.Add("a", []ErrorReport{{Instance: 5, Series: 2, Evidence: -100}}, now)
	require.Zero(t, sum(next), "not below 0")
}

// Guards against a service without proven instances because of a fault elsewhere, against a faulty
// server that counts as proven because another is faulty too, and against sums that are used after
// the daemon was cut off.
func TestMostInstancesAreNotFaulty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	list := Snapshot{Revision: 1}
	for _, id := range []string{"a", "b", "c", "d"} {
		list.Instances = append(list.Instances, Instance{ID: id, Service: "plain", Version: "v1"})
	}
	table.Replace(list, time.Time{})
	var states []ErrorState
	for n, wantProven := range []int{4, 3, 2, 4, 4} {
		table.MergeErrors(states)
		proven := 0
		for _, v := range table.Usable("plain") {
			if v.Proven {
				proven++
			}
		}
		require.Equal(t, wantProven, proven, "%d are faulty", n)
		if n < 4 {
			states = append(states, ErrorState{Instance: list.Instances[n].Hash(), Sum: 80, Faulty: true})
		}
	}
	table.MergeErrors(states[:1])
	require.False(t, table.Usable("plain")[0].Proven)
	clock.Advance(errorSumTTL)
	require.True(t, table.Usable("plain")[0].Proven)
}

// Guards against a faulty instance that nobody learns of, because instances with usual errors take
// all places of the messages.
func TestNewErrorsAreReportedFirst(t *testing.T) {
	const places = 4
	clock := clockwork.NewFakeClock()
	table, sum := NewTable(clock), NewErrorSum()
	list := Snapshot{Revision: 1}
	for i := range 20 {
		list.Instances = append(list.Instances, Instance{ID: fmt.Sprint(i), Service: "plain", Version: "v1"})
	}
	table.Replace(list, time.Time{})
	round := func() {
		clock.Advance(100 * time.Millisecond)
		sum.Add("a", table.OwnErrors(places), clock.Now())
		states := sum.Fleet(table.ErrorStates(), clock.Now(), places)
		require.LessOrEqual(t, len(states), places)
		table.MergeErrors(states)
	}
	round()
	for range 2000 {
		table.NoteStatus(list.Instances[1], "orders", false)
	}
	for _, i := range list.Instances[1:] {
		table.NoteStatus(i, "orders", true)
		table.NoteStatus(i, "orders", true)
		round()
	}
	for range 5 {
		table.NoteStatus(list.Instances[0], "orders", true)
	}
	round()
	views := slices.DeleteFunc(table.Usable("plain"), func(v View) bool { return v.Proven })
	require.Len(t, views, 1)
	require.Equal(t, "0", views[0].Instance.ID)
}
