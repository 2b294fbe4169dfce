package shift

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// minFailures is the number of failures below which no version is rejected.
	minFailures = 4
	// failureMargin is the smallest failure rate that a new version is tested against, so that
	// a few stray failures do not reject it. It is also the most by which that rate may exceed
	// the old version's.
	//
	// Without the second bound, a version could fail twice as often as an old one that already
	// fails often, for the whole roll-out. However often the old version fails, each
	// additional failure leaves another caller without an answer.
	failureMargin = 0.05
	// failureRatio times the old version's failure rate is the rate that the new one is tested
	// against.
	failureRatio = 2
	// falseAlarmProbability is the probability, for each decision, of rejecting a version that
	// fails no more often than the rate it is tested against. A roll-out takes some hundred
	// decisions.
	falseAlarmProbability = 1e-5
	// suspectMinFailures, suspectFalseAlarm and suspectFailureRatio are the same for holding a
	// version back. False alarms may be more frequent here, since a sound version may be held
	// back for a few decisions. The ratio is close to 1: if the old version fails often, a new
	// one that fails twice as often may escape rejection, and must not get all sessions.
	suspectMinFailures  = 2
	suspectFalseAlarm   = 0.003
	suspectFailureRatio = 1.1
	// givenUpFalseAlarm is falseAlarmProbability for giving up a version whose time is over.
	// Without a decision a sound version would be late as well.
	givenUpFalseAlarm = 0.001
	// doubtMinFailures, doubtFalseAlarm and doubtFailureMargin are the same for asking for more
	// answers before a version completes. It may be late for that, so doubts about a sound
	// version must be rare.
	doubtMinFailures   = 3
	doubtFalseAlarm    = 0.005
	doubtFailureMargin = 0.02
)

const (
	// rejectOdds is how many times likelier the times of a version must be if it is slow than if
	// it is sound, at any of some hundred decisions, to reject it.
	rejectOdds = 10000
	// suspectDeviations is by how many standard deviations the score of a version's times must
	// exceed that of a sound version to hold it back, or to give it up when its time is over.
	suspectDeviations = 2.5
	// doubtLatencyDeviations and doubtPaceDeviations are the same for asking for more answers
	// before it completes. Instances of a sound new version have less load than those of the old
	// one at first, and write faster.
	doubtLatencyDeviations = 2.0
	doubtPaceDeviations    = 1.0
)

// Regressed reports whether the new version fails more often or is slower than the old one,
// over all requests or for one kind of them. Such a version is rolled back.
func Regressed(fresh, old Counts) bool {
	if rejectsAny(fresh, old, failureTest{minFailures, falseAlarmProbability, failureRatio, failureMargin}) {
		return true
	}
	if slowerByOdds(fresh, old) {
		return true
	}
	for kind := range old {
		if slowerByOdds(fresh.ofKind(kind), old) {
			return true
		}
	}
	return false
}

// SuspectRegression reports whether failures, latencies or paces indicate a regression, though
// not strongly enough to reject the version. No more sessions move to it until more is known.
func SuspectRegression(fresh, old Counts) bool {
	return rejectsAny(fresh, old, failureTest{suspectMinFailures, suspectFalseAlarm, suspectFailureRatio, failureMargin}) ||
		slowerBy(fresh, old, suspectDeviations, suspectDeviations)
}

// worseAtEnd reports whether a version fails so often, or is so likely slower, that it is given
// up when its time is over.
func worseAtEnd(fresh, old Counts) bool {
	return rejectsAny(fresh, old, failureTest{suspectMinFailures, givenUpFalseAlarm, suspectFailureRatio, failureMargin}) ||
		slowerBy(fresh, old, suspectDeviations, suspectDeviations)
}

// looksWorse reports whether the few answers of a short time leave it open whether a version is
// worse. It needs less evidence than a suspicion, since it only asks for more answers.
func looksWorse(fresh, old Counts) bool {
	return rejectsAny(fresh, old, failureTest{doubtMinFailures, doubtFalseAlarm, suspectFailureRatio, doubtFailureMargin}) ||
		slowerBy(fresh, old, doubtLatencyDeviations, doubtPaceDeviations)
}

// failureTest tests a failure rate. It rejects a version with at least minFailures failures if
// that many or more occur with a probability below falseAlarm. The tested rate is ratio times
// the old version's, at most failureMargin above it and at least floor.
type failureTest struct {
	minFailures              int
	falseAlarm, ratio, floor float64
}

// rejectsAny tests all requests together, and each kind of them.
func rejectsAny(fresh, old Counts, t failureTest) bool {
	if t.rejects(fresh.Total(), old.Total()) {
		return true
	}
	for kind, c := range fresh {
		if t.rejects(c, old[kind]) {
			return true
		}
	}
	return false
}

// rejects tests the number of failures against the binomial distribution.
func (t failureTest) rejects(fresh, old Count) bool {
	if fresh.Bad < t.minFailures {
		return false
	}
	rate := t.floor
	if old.Requests > 0 {
		// The rule of succession: a few answers without a failure do not show a rate of 0.
		oldRate := float64(old.Bad+1) / float64(old.Requests+2)
		rate = max(rate, min(t.ratio*oldRate, oldRate+failureMargin))
	}
	if rate >= 1 {
		return false
	}
	tail := 1 - distuv.Binomial{N: float64(fresh.Requests), P: rate}.CDF(float64(fresh.Bad-1))
	return tail < t.falseAlarm
}

// measure is a quantity by which versions are compared: its values, and the values so far of
// requests that wait.
type measure struct {
	values, waiting func(Count) Histogram
}

var (
	latencies = measure{func(c Count) Histogram { return c.Latencies }, func(c Count) Histogram { return c.Waiting }}
	paces     = measure{func(c Count) Histogram { return c.Paces }, func(Count) Histogram { return nil }}
)

// slowerByOdds reports whether a version is so likely slower that it is rejected.
func slowerByOdds(fresh, old Counts) bool {
	for _, m := range []measure{latencies, paces} {
		if newComparison(fresh, old, m).logOdds() > math.Log(rejectOdds) {
			return true
		}
	}
	return false
}

// slowerBy reports whether a version's latencies or its paces are slower by the given numbers of
// standard deviations.
func slowerBy(fresh, old Counts, latencyDeviations, paceDeviations float64) bool {
	latency, pace := SlownessDeviations(fresh, old)
	return latency > latencyDeviations || pace > paceDeviations
}

// SlownessDeviations returns by how many standard deviations a version's latencies, and its
// paces, are slower than the old one's. Sound versions stay below 2 in 99 of 100 cases.
func SlownessDeviations(fresh, old Counts) (latency, pace float64) {
	return newComparison(fresh, old, latencies).deviations(), newComparison(fresh, old, paces).deviations()
}
