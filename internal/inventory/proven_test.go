package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// provenFleet is a number of daemons that exchange losses, each with its own table.
type provenFleet struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	tables []*Table
	sum    *LossSum
}

func newProvenFleet(t *testing.T, daemons int) *provenFleet {
	f := &provenFleet{t: t, clock: clockwork.NewFakeClock(), sum: NewLossSum()}
	for range daemons {
		table := NewTable(f.clock)
		table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
		f.tables = append(f.tables, table)
	}
	return f
}

// exchange does one round. Replies of the daemons take the given time.
func (f *provenFleet) exchange(delay time.Duration) {
	for d, table := range f.tables {
		own := table.OwnLosses(10)
		f.clock.Advance(delay)
		f.sum.Add(string(rune('a'+d)), own, f.clock.Now())
	}
	for _, table := range f.tables {
		table.MergeLosses(f.sum.Fleet(f.clock.Now(), 10))
	}
}

// answers gives each daemon n whole answers of an instance.
func (f *provenFleet) answers(id string, n int) {
	for _, table := range f.tables {
		for range n {
			table.NoteWholeAnswer(instance(id))
		}
	}
}

func (f *provenFleet) isProven(daemon int, id string) bool {
	for _, v := range f.tables[daemon].Usable("catalogue") {
		if v.Instance.ID == id {
			return v.Proven
		}
	}
	f.t.Fatalf("%s is not usable", id)
	return false
}

// A loss at one daemon must make the instance unproven at all, and whole answers at all daemons
// together must make it proven again, also if no daemon has enough of them. A loss after that
// starts anew.
func TestLossesAndWholeAnswersAreExchanged(t *testing.T) {
	const daemons = 10
	f := newProvenFleet(t, daemons)
	for range 2 {
		f.clock.Advance(time.Second)
		require.True(t, f.tables[0].NoteLoss(instance("a"), 0))
		require.True(t, f.isProven(9, "a"))
		f.exchange(time.Millisecond)
		require.False(t, f.isProven(9, "a"))
		require.True(t, f.isProven(9, "b"))
		f.answers("a", soundAfterLoss/daemons-1)
		f.exchange(time.Millisecond)
		require.False(t, f.isProven(0, "a"))
		f.answers("a", 1)
		f.exchange(time.Millisecond)
		for d := range daemons {
			require.True(t, f.isProven(d, "a"))
		}
		f.exchange(time.Millisecond)
		require.True(t, f.isProven(0, "a"), "the old loss does not count again")
	}
}

// Guards against a loss that never ages because slow replies make it look younger, and against
// one that is forgotten early because the daemon that saw it has stopped.
func TestLossIsForgottenInTime(t *testing.T) {
	f := newProvenFleet(t, 3)
	f.tables[0].NoteLoss(instance("a"), 0)
	start := f.clock.Now()
	for f.clock.Since(start) < lossTime-5*time.Second {
		f.exchange(300 * time.Millisecond)
		require.False(t, f.isProven(1, "a"))
	}
	f.tables = f.tables[1:]
	f.exchange(time.Millisecond)
	require.False(t, f.isProven(0, "a"))
	for f.clock.Since(start) < lossTime+2*time.Second {
		f.exchange(300 * time.Millisecond)
	}
	require.True(t, f.isProven(0, "a"))
	require.Empty(t, f.tables[0].OwnLosses(10))
}

// Guards against a new loss that has no effect because daemons that do not know of it yet still
// report the whole answers since the one before.
func TestOldCountsDoNotCoverNewLoss(t *testing.T) {
	f := newProvenFleet(t, 2)
	f.tables[0].NoteLoss(instance("a"), 0)
	f.exchange(time.Millisecond)
	f.clock.Advance(5 * time.Second)
	f.answers("a", soundAfterLoss)
	f.exchange(time.Millisecond)
	require.True(t, f.isProven(0, "a"))
	f.tables[1].NoteLoss(instance("a"), 0)
	f.exchange(time.Millisecond)
	f.exchange(time.Millisecond)
	require.False(t, f.isProven(0, "a"))
	require.False(t, f.isProven(1, "a"))
}

// A crash is no loss, and an instance that has just started is not proven until it has answered
// some requests. Instances that are listed when the daemon starts are.
func TestCrashAndStart(t *testing.T) {
	f := newProvenFleet(t, 1)
	table := f.tables[0]
	table.NoteLoss(instance("a"), 0)
	table.NoteCrash(instance("a"))
	require.True(t, f.isProven(0, "a"))

	started := instance("c")
	table.Apply([]Change{{ID: "c", Instance: &started}}, 2, time.Time{})
	require.False(t, f.isProven(0, "c"))
	f.answers("c", soundAfterStart)
	require.True(t, f.isProven(0, "c"))
	started.Born = 5
	table.Apply([]Change{{ID: "c", Instance: &started}}, 3, time.Time{})
	require.False(t, f.isProven(0, "c"))
	f.clock.Advance(startTime)
	require.True(t, f.isProven(0, "c"))
}

// Another failure domain's losses reach this group, and are not sent back as losses of this group.
func TestLossesOfAnotherDomain(t *testing.T) {
	now := time.Now()
	s := NewLossSum()
	s.AddDomain("far", []LossReport{{Instance: 5, Lost: true, LossAge: time.Second, Counted: true, CountAge: time.Second, Sound: 7}}, now)
	s.Add("a", []LossReport{{Instance: 5, Counted: true, CountAge: time.Second, Sound: 4}}, now)
	want := LossReport{Instance: 5, Lost: true, LossAge: time.Second, Counted: true, CountAge: time.Second, Sound: 11}
	require.Equal(t, []LossReport{want}, s.Fleet(now, 10))
	want.Lost, want.LossAge, want.Sound = false, 0, 4
	require.Equal(t, []LossReport{want}, s.Group(now, 10))
}
