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

// An operator takes servers away that never say that they leave: their entries
// just vanish. One daemon was turned away by the store shortly before. Within
// the time allowed for leaving servers it went on sending to one of them,
// because it doubted for two seconds from each removal whether the entry had
// only lapsed. The doubt ends two seconds after the store's return.
func TestRemovalAfterAnOutageIsBelievedInTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	regained := clock.Now()
	doubted := regained.Add(2 * time.Second)

	clock.Advance(1500 * time.Millisecond)
	table.Apply([]Change{{ID: "a"}}, 6, doubted)
	require.Equal(t, []string{"a", "b"}, ids(table.Usable("catalogue")), "the entry may have lapsed")
	clock.Advance(600 * time.Millisecond)
	table.Expire()
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))

	table.Apply([]Change{{ID: "b"}}, 7, doubted)
	require.Empty(t, table.Usable("catalogue"), "after the doubt a removal counts at once")
}

// Entries of live servers lapse while the store is away and come back after its
// return. Nobody must be refused in between because the list is empty.
func TestLapsedEntriesAreKeptUntilTheyAreBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a")}}, time.Time{})
	doubted := clock.Now().Add(2 * time.Second)
	table.Replace(Snapshot{Revision: 9}, doubted)
	require.Equal(t, []string{"a"}, ids(table.Usable("catalogue")))
	back := instance("a")
	table.Apply([]Change{{ID: "a", Instance: &back}}, 10, doubted)
	clock.Advance(5 * time.Second)
	table.Expire()
	require.Equal(t, []string{"a"}, ids(table.Usable("catalogue")))
}

// A server said that it leaves, and an older list that still has it as ready
// comes from a peer. It must not get anything again.
func TestLeavingIsNotTakenBack(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	leaving := instance("a")
	leaving.Leaving = true
	table.Replace(Snapshot{Revision: 8, Instances: []Instance{leaving}}, time.Time{})
	require.False(t, table.Replace(Snapshot{Revision: 7, Instances: []Instance{instance("a")}}, time.Time{}))
	table.Replace(Snapshot{Revision: 9, Instances: []Instance{instance("a")}}, time.Time{})
	require.Empty(t, table.Usable("catalogue"))
}

// An instance whose connections fail is left out for a while, longer each time,
// and is back once it answers.
func TestFailingInstancesAreLeftOutForAWhile(t *testing.T) {
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
	clock.Advance(ejectTime)
	require.False(t, ejected())
	fail(OutcomeUnreachable)
	clock.Advance(ejectTime)
	require.True(t, ejected(), "the second time is longer")
	clock.Advance(ejectTime)
	for range 10 {
		fail(OutcomeGood)
	}
	require.False(t, ejected())
}

// A service that fails one request in seven by itself is sound; none of its
// instances may be left out for that.
func TestOrdinaryFailuresDoNotEject(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	for i := range 700 {
		outcome := OutcomeGood
		if i%7 == 0 {
			outcome = OutcomeFailed
		}
		table.Begin(instance("a"), 0)
		table.End(instance("a"), outcome)
		require.False(t, table.Usable("catalogue")[0].Ejected)
	}
}

// What an instance says of other daemons' work loses weight with its age.
func TestReportedLoadAges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	table.Begin(instance("a"), 100)
	table.Report(instance("a"), Load{Running: 8, Waiting: 1, Slots: 4})
	view := table.Usable("catalogue")[0]
	require.InDelta(t, 9, view.Load, 0.01)
	clock.Advance(reportHalfLife)
	require.InDelta(t, 5, table.Usable("catalogue")[0].Load, 0.01)
	clock.Advance(time.Minute)
	require.InDelta(t, 1, table.Usable("catalogue")[0].Load, 0.01)
}

// A daemon without the store keeps an entry in doubt and passes its list to a
// peer. Passed on as listed, the entry came back from peer to peer, and a server
// that had left got requests for seconds. It is passed on with its doubt.
func TestDoubtIsPassedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewTable(clock), NewTable(clock)
	one.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	one.Apply([]Change{{ID: "a"}}, 6, clock.Now().Add(2*time.Second))
	two.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	clock.Advance(time.Second)
	two.Replace(one.Snapshot(), clock.Now())
	require.Equal(t, []string{"a", "b"}, ids(two.Usable("catalogue")))
	clock.Advance(1100 * time.Millisecond)
	two.Expire()
	require.Equal(t, []string{"b"}, ids(two.Usable("catalogue")))
}

// Two daemons read the list and tell a third one. A read that was overtaken by
// the other one's news is not passed on as if it had brought nothing: the third
// daemon would go past changes that it never got.
func TestOvertakenReadsAreNotTakenIn(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	table.Replace(Snapshot{Revision: 100}, time.Time{})
	a := instance("a")
	news, _, ok := table.Apply([]Change{{ID: "a", Instance: &a}}, 125, time.Time{})
	require.True(t, ok)
	require.Len(t, news, 1)
	_, _, ok = table.Apply([]Change{{ID: "a", Instance: &a}}, 120, time.Time{})
	require.False(t, ok)
	news, _, ok = table.Apply([]Change{{ID: "a", Instance: &a}}, 130, time.Time{})
	require.True(t, ok)
	require.Empty(t, news, "a heartbeat is no news")
}

// Servers of a new version are listed before the order to use them has arrived.
// Without a rule for them, sessions ran on the new version and back on the old
// one. They are marked as unannounced for a while; what is there when a daemon
// starts is not.
func TestVersionsWithoutAnOrderYet(t *testing.T) {
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

// Daemons tell what they have under way. The sum is of what each told last; one that
// has told nothing for some time is left out, since it may have ended.
func TestSum(t *testing.T) {
	now := time.Now()
	s := NewSum()
	s.Add("one", Work{1: {Waiting: 5000, Open: 2}}, now)
	s.Add("one", Work{1: {Waiting: 6000, Open: 3}, 2: {Waiting: 70, Open: 1}}, now)
	s.Add("two", Work{1: {Waiting: 1000, Open: 1}}, now.Add(fleetTime))
	require.Equal(t, Work{1: {Waiting: 7000, Open: 4}, 2: {Waiting: 70, Open: 1}}, s.Total(now.Add(fleetTime)))
	require.Equal(t, Work{1: {Waiting: 1000, Open: 1}}, s.Total(now.Add(fleetTime+time.Millisecond)))
}

// What other daemons have at an instance is told some times a second. A daemon puts
// its own requests of now in the place of those that were told of it, takes less of
// the others' as the news grows old, and falls back to its own when nothing is told.
func TestFleetWork(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{instance("a")}}, time.Time{})
	table.Begin(instance("a"), 100)
	table.SetFleet(Work{instance("a").Number(): {Waiting: 1100, Open: 7}})
	table.Begin(instance("a"), 50)
	view := table.Usable("catalogue")[0]
	require.InDelta(t, 1150, view.Waiting, 0.01)
	require.Equal(t, 8, view.Open)
	table.Started(instance("a"), 100)
	require.InDelta(t, 1050, table.Usable("catalogue")[0].Waiting, 0.01)
	clock.Advance(toldHalfLife)
	require.InDelta(t, 550, table.Usable("catalogue")[0].Waiting, 0.01)
	clock.Advance(fleetTime)
	view = table.Usable("catalogue")[0]
	require.InDelta(t, 50, view.Waiting, 0.01)
	require.Equal(t, 2, view.Open)
}

// A server answers that it is not the one expected, and only afterwards does the
// list say that it leaves. That is news, which a reader must tell the others;
// taken for known, it was told to nobody.
func TestWhatAServerSaidDoesNotHideTheList(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	i := Instance{ID: "i", Service: "s"}
	table.Replace(Snapshot{Revision: 1, Instances: []Instance{i}}, time.Time{})
	table.NoteLeaving(instance("i").Life())
	require.Empty(t, table.Usable("s"))
	i.Leaving = true
	news, _, ok := table.Apply([]Change{{ID: "i", Instance: &i}}, 2, time.Time{})
	require.True(t, ok)
	require.Len(t, news, 1)
}

// A server crashes while it is ejected for its failures and a request runs there,
// and starts again under its ID. It must be used like a new one: nothing of the
// earlier life counts, the end of the earlier request included, and news of that
// life that comes late changes nothing.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	before, after := instance("a"), instance("a")
	before.Born, after.Born = 1000, 5000
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{before}}, time.Time{})
	table.Begin(before, 700)
	table.Report(before, Load{Running: 4, Slots: 4})
	table.Begin(before, 0)
	table.End(before, OutcomeUnreachable)
	table.NoteLeaving(before.Life())
	require.Empty(t, table.Usable("catalogue"))

	table.Apply([]Change{{ID: "a", Instance: &after}}, 6, time.Time{})
	views := table.Usable("catalogue")
	require.Len(t, views, 1)
	require.Equal(t, View{Instance: after}, views[0])

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

// Another writer overwrites the entry of a server. From then on that entry names no
// server to use, and is not doubted as one that has lapsed; the server's own next
// entry brings it back.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.Replace(Snapshot{Revision: 5, Instances: []Instance{instance("a"), instance("b")}}, time.Time{})
	doubted := clock.Now().Add(time.Minute)
	news, _, ok := table.Apply([]Change{{ID: "a", Unreadable: true}, {ID: "z", Unreadable: true}}, 6, doubted)
	require.True(t, ok)
	require.Equal(t, []Change{{ID: "a", Unreadable: true}}, news, "the others are told")
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))
	again := instance("a")
	table.Apply([]Change{{ID: "a", Instance: &again}}, 7, doubted)
	require.Equal(t, []string{"a", "b"}, ids(table.Usable("catalogue")))
	table.Replace(Snapshot{Revision: 8, Instances: []Instance{instance("b")}, Unreadable: []string{"a"}}, doubted)
	require.Equal(t, []string{"b"}, ids(table.Usable("catalogue")))
}
