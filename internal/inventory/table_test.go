package inventory

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func instance(id string) Instance {
	return Instance{ID: id, Service: "catalogue", Address: id + ":1", Version: "v1", Slots: 4}
}

func ids(views []View) []string {
	out := []string{}
	for _, v := range views {
		out = append(out, v.Instance.ID)
	}
	return out
}

// Guards against a removed server that keeps getting requests after an outage of the store.
// Its entry disappears shortly after the outage, without an announcement that it leaves. The
// entry may have expired only because of the outage and is kept for a while, but this time
// must end two seconds after the outage, not two seconds after each removal. Otherwise a
// daemon would exceed the time allowed for leaving servers.
func TestRemovalAfterAnOutageTakesEffectInTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	outageEnd := clock.Now()
	keepUntil := outageEnd.Add(2 * time.Second)

	clock.Advance(1500 * time.Millisecond)
	table.Apply([]Change{{ID: "a"}}, 6, keepUntil)
	require.Equal(t, []string{"a", "b"}, ids(table.Usable("catalogue")), "the entry may have expired")
	clock.Advance(600 * time.Millisecond)
	table.Expire()
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))

	table.Apply([]Change{{ID: "b"}}, 7, keepUntil)
	require.Empty(t, table.Usable("catalogue"), "after keepUntil a removal takes effect at once")
}

// Entries of running servers expire during an outage of the store and return after it.
// Requests must not be refused in the meantime because the list is empty.
func TestExpiredEntriesAreKeptUntilTheyReturn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a")}}, time.Time{})
	keepUntil := clock.Now().Add(2 * time.Second)
	table.Replace(Snapshot{Revision: 9}, keepUntil)
	require.Equal(t, []string{"a"}, ids(table.Usable("catalogue")))
	back := instance("a")
	table.Apply([]Change{{ID: "a", Instance: &back}}, 10, keepUntil)
	clock.Advance(5 * time.Second)
	table.Expire()
	require.Equal(t, []string{"a"}, ids(table.Usable("catalogue")))
}

// A server has announced that it is leaving, and an older list from a peer still contains it
// as ready. It must not get requests again.
func TestLeavingIsSticky(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	leaving := instance("a")
	leaving.Leaving = true
	table.Replace(Snapshot{Revision: 8, Instances: []Instance{leaving}}, time.Time{})
	require.False(t, table.Replace(Snapshot{Revision: 7, Instances: []Instance{instance("a")}}, time.Time{}))
	table.Replace(Snapshot{Revision: 9, Instances: []Instance{instance("a")}}, time.Time{})
	require.Empty(t, table.Usable("catalogue"))
}

// An instance with connection failures is ejected, longer each time, and is used again once it
// answers.
func TestFailingInstanceIsEjectedForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	ejected := func() bool { return table.Usable("catalogue")[0].Ejected }
	fail := func(o Outcome) {
		table.Begin(instance("a"), 0)
		table.End(instance("a"), o)
	}
	fail(OutcomeUnreachable)
	require.True(t, ejected())
	clock.Advance(baseEjectTime)
	require.False(t, ejected())
	fail(OutcomeUnreachable)
	clock.Advance(baseEjectTime)
	require.True(t, ejected(), "the second time is longer")
	clock.Advance(baseEjectTime)
	for range 10 {
		fail(OutcomeSuccess)
	}
	require.False(t, ejected())
}

// A service that normally fails one request in seven is healthy; none of its instances may be
// ejected for that.
func TestOrdinaryFailuresDoNotEject(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	for i := range 700 {
		outcome := OutcomeSuccess
		if i%7 == 0 {
			outcome = OutcomeFailed
		}
		table.Begin(instance("a"), 0)
		table.End(instance("a"), outcome)
		require.False(t, table.Usable("catalogue")[0].Ejected)
	}
}

// The load of other daemons that an instance reports must lose weight with its age.
func TestReportedLoadDecays(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	table.Begin(instance("a"), 100)
	table.ReportLoad(instance("a"), Load{Running: 8, Waiting: 1, Slots: 4})
	view := table.Usable("catalogue")[0]
	require.InDelta(t, 9, view.Load, 0.01)
	clock.Advance(reportHalfLife)
	require.InDelta(t, 5, table.Usable("catalogue")[0].Load, 0.01)
	clock.Advance(time.Minute)
	require.InDelta(t, 1, table.Usable("catalogue")[0].Load, 0.01)
}

// A daemon without access to the store keeps a missing entry for a while and sends its list to
// a peer. If the entry were sent without its remaining keep time, it would return from peer to
// peer, and a server that has left would get requests for seconds.
func TestSnapshotCarriesRemainingKeepTimes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewTable(clock), NewTable(clock)
	one.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	one.Apply([]Change{{ID: "a"}}, 6, clock.Now().Add(2*time.Second))
	two.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	clock.Advance(time.Second)
	two.Replace(one.Part(0, 1), clock.Now())
	require.Equal(t, []string{"a", "b"}, ids(two.Usable("catalogue")))
	clock.Advance(1100 * time.Millisecond)
	two.Expire()
	require.Equal(t, []string{"b"}, ids(two.Usable("catalogue")))
}

// Two daemons read the list and inform a third one. If a daemon applied a read that is older
// than its table and passed it on as a read without changes, the third daemon would skip
// changes that it never got.
func TestApplyRejectsAnOlderRevision(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	table.Replace(Snapshot{Revision: 100}, time.Time{})
	a := instance("a")
	changed, _, ok := table.Apply([]Change{{ID: "a", Instance: &a}}, 125, time.Time{})
	require.True(t, ok)
	require.Len(t, changed, 1)
	_, _, ok = table.Apply([]Change{{ID: "a", Instance: &a}}, 120, time.Time{})
	require.False(t, ok)
	changed, _, ok = table.Apply([]Change{{ID: "a", Instance: &a}}, 130, time.Time{})
	require.True(t, ok)
	require.Empty(t, changed, "a heartbeat is not a change")
}

// Servers of a new version are listed before the order to use the version arrives. If they
// were used at once, sessions would move to the new version and back to the old one. New
// versions are therefore unannounced for a while, except those that are listed when a daemon
// starts.
func TestNewVersionIsUnannouncedAtFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	fresh := instance("b")
	fresh.Version = "v2"
	other := fresh
	other.ID, other.Service = "c", "another"
	table.Apply([]Change{{ID: "b", Instance: &fresh}, {ID: "c", Instance: &other}}, 2, time.Time{})
	unannounced := func(service string) []bool {
		var out []bool
		for _, v := range table.Usable(service) {
			out = append(out, v.Unannounced)
		}
		return out
	}
	require.Equal(t, []bool{false, true}, unannounced("catalogue"))
	require.Equal(t, []bool{false}, unannounced("another"), "the only version of a service is used at once")
	clock.Advance(announceTime)
	require.Equal(t, []bool{false, false}, unannounced("catalogue"))
}

// The sum must contain the last report of each daemon. A daemon without a recent report is
// left out, since it may have ended.
func TestWorkSum(t *testing.T) {
	now := time.Now()
	s := NewWorkSum()
	s.Add("one", Work{1: {Waiting: 5000, Open: 2}}, now)
	s.Add("one", Work{1: {Waiting: 6000, Open: 3}, 2: {Waiting: 70, Open: 1}}, now)
	s.Add("two", Work{1: {Waiting: 1000, Open: 1}}, now.Add(fleetWorkTTL))
	require.Equal(t, Work{1: {Waiting: 7000, Open: 4}, 2: {Waiting: 70, Open: 1}}, s.Total(now.Add(fleetWorkTTL)))
	require.Equal(t, Work{1: {Waiting: 1000, Open: 1}}, s.Total(now.Add(fleetWorkTTL+time.Millisecond)))
}

// A daemon receives the work of all daemons several times per second. It must replace its own
// part by its current requests, reduce the others' part as the report ages, and use only its
// own requests once the report is too old.
func TestFleetWorkReplacesOwnPart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	table.Begin(instance("a"), 100)
	table.SetFleetWork(Work{instance("a").Hash(): {Waiting: 1100, Open: 7}})
	table.Begin(instance("a"), 50)
	view := table.Usable("catalogue")[0]
	require.InDelta(t, 1150, view.Waiting, 0.01)
	require.Equal(t, 8, view.Open)
	table.RemoveWaiting(instance("a"), 100)
	require.InDelta(t, 1050, table.Usable("catalogue")[0].Waiting, 0.01)
	clock.Advance(fleetHalfLife)
	require.InDelta(t, 550, table.Usable("catalogue")[0].Waiting, 0.01)
	clock.Advance(fleetWorkTTL)
	view = table.Usable("catalogue")[0]
	require.InDelta(t, 50, view.Waiting, 0.01)
	require.Equal(t, 2, view.Open)
}

// A server answers that it is not the expected one, and only later the list shows it as
// leaving. If the answer made the list change look known, no other daemon would be informed.
func TestLeavingMarkDoesNotHideTheListChange(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	i := Instance{ID: "i", Service: "s"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{i}}, time.Time{})
	table.NoteLeaving(instance("i").Incarnation())
	require.Empty(t, table.Usable("s"))
	i.Leaving = true
	changed, _, ok := table.Apply([]Change{{ID: "i", Instance: &i}}, 2, time.Time{})
	require.True(t, ok)
	require.Len(t, changed, 1)
}

// A server crashes while it is ejected and has an open request, and restarts under its ID. The
// new incarnation must start without any state of the earlier one: neither the end of the
// earlier request nor a late entry of the earlier incarnation may change it.
func TestServerRestartsUnderTheSameID(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	before, after := instance("a"), instance("a")
	before.Born, after.Born = 1000, 5000
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{before}}, time.Time{})
	table.Begin(before, 700)
	table.ReportLoad(before, Load{Running: 4, Slots: 4})
	table.Begin(before, 0)
	table.End(before, OutcomeUnreachable)
	table.NoteLeaving(before.Incarnation())
	require.Empty(t, table.Usable("catalogue"))

	table.Apply([]Change{{ID: "a", Instance: &after}}, 6, time.Time{})
	views := table.Usable("catalogue")
	require.Len(t, views, 1)
	require.Equal(t, View{Instance: after, ProvenSince: clock.Now()}, views[0], "not proven, since it has just started")

	table.Begin(after, 100)
	table.End(before, OutcomeUnreachable)
	late := before
	late.Leaving = true
	table.Apply([]Change{{ID: "a", Instance: &late}}, 7, time.Time{})
	views = table.Usable("catalogue")
	require.Len(t, views, 1)
	require.Equal(t, 1, views[0].InFlight)
	require.False(t, views[0].Ejected)
}

// Another writer overwrites the entry of a server. The server must be unusable from then on,
// without the delay for expired entries, until it writes a readable entry again.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	keepUntil := clock.Now().Add(time.Minute)
	changed, _, ok := table.Apply([]Change{{ID: "a", Unreadable: true}, {ID: "z", Unreadable: true}}, 6, keepUntil)
	require.True(t, ok)
	require.Equal(t, []Change{{ID: "a", Unreadable: true}}, changed, "the change is passed on")
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))
	again := instance("a")
	table.Apply([]Change{{ID: "a", Instance: &again}}, 7, keepUntil)
	require.Equal(t, []string{"a", "b"}, ids(table.Usable("catalogue")))
	table.Replace(Snapshot{Revision: 8, Instances: []Instance{instance("b")}, Unreadable: []string{"a"}}, keepUntil)
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))
}
