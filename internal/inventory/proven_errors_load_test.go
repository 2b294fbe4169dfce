package inventory_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// The load is that of lossSim. At all servers, 0.4% of orders and 14% of reads end with an error.
// From second 20 to second 25.6, s-0 answers 95% of all requests with an error.
const (
	errorsFrom, errorsUntil = 20 * time.Second, 25600 * time.Millisecond
	errorTime               = 37 * time.Second
)

// errorSim is the part of lossSim that is about errors.
type errorSim struct {
	sum    *inventory.ErrorSum
	faulty bool
	// failed counts the orders that ended with an error. alarms counts how often a server was
	// found faulty; foundAt and soundAt are when s-0 was first found faulty, and last sound again.
	failed, alarms   int
	foundAt, soundAt time.Duration
}

func (s *lossSim) answersErrors(id string) bool {
	return s.errors.faulty && id == "s-0" && s.now >= errorsFrom && s.now < errorsUntil
}

// endWithError reports whether the request ended with an error, which is then dealt with.
func (s *lossSim) endWithError(c lossCall) bool {
	share, route := 0.14, "reads"
	if c.order {
		share, route = 0.004, "orders"
	}
	if s.answersErrors(c.instance.ID) {
		share = 0.95
	}
	isError := s.random.Float64() < share
	if s.proven {
		s.tables[c.daemon].NoteStatus(c.instance, route, isError)
	}
	if !isError {
		return false
	}
	s.tables[c.daemon].End(c.instance, inventory.OutcomeFailed)
	if c.order {
		s.errors.failed++
	} else if len(c.tried) == 0 {
		c.tried[c.instance.ID] = true
		s.send(c, true)
	}
	return true
}

// exchangeErrors does one round, in the encoding that daemons use.
func (s *lossSim) exchangeErrors() {
	const most = 12
	for d, table := range s.tables {
		s.errors.sum.Add(fmt.Sprint(d), peer.UnpackErrors(peer.PackErrors(table.OwnErrors(most))), s.clock.Now())
	}
	fleet := peer.PackErrorStates(s.errors.sum.Fleet(s.tables[0].ErrorStates(), s.clock.Now(), most))
	var found []inventory.Instance
	for _, table := range s.tables {
		found = table.MergeErrors(peer.UnpackErrorStates(fleet))
	}
	s.errors.alarms += len(found)
	if !s.tables[0].Usable("plain")[0].Proven {
		s.errors.foundAt = cmp.Or(s.errors.foundAt, s.now)
		s.errors.soundAt = s.now
	}
}

func simulateErrors(seed uint64, length time.Duration, proven, faulty bool) *lossSim {
	s := newLossSim(seed, proven)
	s.errors = &errorSim{sum: inventory.NewErrorSum(), faulty: faulty}
	s.run(length)
	return s
}

// Guards against orders that fail at a server that answers nearly all requests with an error, until
// each daemon has found that out for itself.
func TestOrdersAvoidServersThatAnswerErrors(t *testing.T) {
	var failedBefore, failedAfter, lateBefore, lateAfter int
	for seed := range uint64(5) {
		b, a := simulateErrors(seed, errorTime, false, true), simulateErrors(seed, errorTime, true, true)
		t.Logf("seed %d, %d orders: without %d failed, %d late; with %d failed, %d late, found after %v, sound again %v after the end",
			seed, a.orders, b.errors.failed, b.late, a.errors.failed, a.late, a.errors.foundAt-errorsFrom, a.errors.soundAt-errorsUntil)
		failedBefore, failedAfter = failedBefore+b.errors.failed, failedAfter+a.errors.failed
		lateBefore, lateAfter = lateBefore+b.late, lateAfter+a.late
		require.Less(t, a.errors.foundAt-errorsFrom, 400*time.Millisecond)
		require.Less(t, a.errors.soundAt-errorsUntil, 5*time.Second)
		require.Zero(t, a.lossResult.failed)
	}
	t.Logf("failed %d and %d, late %d and %d", failedBefore, failedAfter, lateBefore, lateAfter)
	require.Less(t, failedAfter, failedBefore/3)
	require.LessOrEqual(t, lateAfter, lateBefore+lateBefore/4)
}

// Guards against sound servers that are taken for faulty ones at their usual errors, also while
// the usual share of a route is not known yet.
func TestUsualErrorsAreNoFault(t *testing.T) {
	alarms := 0
	const minutes = 3
	for seed := range uint64(minutes) {
		alarms += simulateErrors(seed, time.Minute, true, false).errors.alarms
	}
	t.Logf("%d alarms in %d minutes", alarms, minutes)
	require.Less(t, alarms, minutes)
}
