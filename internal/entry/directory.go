package entry

import (
	"math/rand/v2"
	"time"
)

const (
	// requestCPU, requestMbit and requestMB are what a request takes at a daemon: seconds of a
	// core, traffic in both directions, and memory times the seconds for which it is open. They are
	// estimates for a stream with a prompt of 10,000 tokens and some hundred events. Only their
	// ratio matters: it tells which part of a machine limits it.
	requestCPU  = 0.015
	requestMbit = 1.0
	requestMB   = 4.0
	// baseMB is the memory of a daemon without requests.
	baseMB = 64.0
	// minWeight is the smallest weight of a daemon, compared with the largest one: none is left out
	// for long, and each gets requests that show whether it is slow.
	minWeight = 0.05
	// minNamed is the number of daemons that an answer names if there are that many. Callers need
	// alternatives until the next answer when daemons fail.
	minNamed = 4
)

// carrier is a daemon that the directory may name, with the resources of its machine; 0 means
// unknown.
type carrier struct {
	address            string
	near               bool
	cpu, memory, linkM float64
	// late is how slow the daemon is; each level halves its weight.
	late uint8
}

// carrierWeights returns what each daemon can carry, as a fraction of the largest value. An unknown
// resource counts as the mean of the known ones.
func carrierWeights(all []carrier) []float64 {
	resources := []struct {
		of   func(c carrier) float64
		need float64
	}{
		{func(c carrier) float64 { return c.cpu }, requestCPU},
		{func(c carrier) float64 { return c.linkM }, requestMbit},
		{func(c carrier) float64 {
			if c.memory == 0 {
				return 0
			}
			return max(c.memory-baseMB, 1)
		}, requestMB},
	}
	out := make([]float64, len(all))
	for _, r := range resources {
		sum, known := 0.0, 0
		for _, c := range all {
			if v := r.of(c); v > 0 {
				sum, known = sum+v, known+1
			}
		}
		if known == 0 {
			continue
		}
		for i, c := range all {
			amount := r.of(c)
			if amount <= 0 {
				amount = sum / float64(known)
			}
			if carries := amount / r.need; out[i] == 0 || carries < out[i] {
				out[i] = carries
			}
		}
	}
	most := 0.0
	for i, c := range all {
		if out[i] == 0 {
			out[i] = 1
		}
		out[i] /= float64(uint(1) << min(c.late, maxLate))
		most = max(most, out[i])
	}
	for i := range out {
		out[i] = max(out[i]/most, minWeight)
	}
	return out
}

// chooseAddresses returns up to limit addresses for an answer of the directory, near ones first.
// Callers pick one of them at random, so each daemon is in a part of the answers that is
// proportionate to its weight.
//
// An answer of a fleet that does not fit into it names near daemons as far as there are enough.
func chooseAddresses(all []carrier, limit int, random *rand.Rand) []string {
	chances := carrierWeights(all)
	total, most := sum(chances), float64(limit)
	if least := float64(min(minNamed, len(all))); total < least {
		chances = scaleTo(chances, least)
	} else if total > most {
		chances = preferNear(all, chances, most)
	}
	var near, far []string
	for _, i := range sample(chances, random) {
		if all[i].near {
			near = append(near, all[i].address)
		} else {
			far = append(far, all[i].address)
		}
	}
	out := append(near, far...)
	if len(out) == 0 && len(all) > 0 {
		// The chances add up to one at least, but for rounding.
		out = append(out, all[random.IntN(len(all))].address)
	}
	return out[:min(len(out), limit)]
}

// preferNear returns chances whose sum is total, less than before: near daemons keep theirs as far
// as they fit, and the far ones share the rest.
func preferNear(all []carrier, chances []float64, total float64) []float64 {
	near, far := make([]float64, len(all)), make([]float64, len(all))
	for i, c := range chances {
		if all[i].near {
			near[i] = c
		} else {
			far[i] = c
		}
	}
	nearTotal := min(sum(near), total)
	near, far = scaleTo(near, nearTotal), scaleTo(far, total-nearTotal)
	for i := range near {
		near[i] += far[i]
	}
	return near
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// scaleTo returns chances in the same proportion whose sum is total, as far as none exceeds 1.
func scaleTo(chances []float64, total float64) []float64 {
	out := append([]float64{}, chances...)
	if before := sum(out); before > total {
		for i := range out {
			out[i] *= total / before
		}
		return out
	}
	// What exceeds 1 is divided between the others, which may then exceed it, too.
	for exceeded := true; exceeded; {
		full, rest := 0.0, 0.0
		for _, c := range out {
			if c >= 1 {
				full++
			} else {
				rest += c
			}
		}
		if rest == 0 {
			break
		}
		exceeded = false
		factor := (total - full) / rest
		for i, c := range out {
			if c < 1 {
				out[i] = min(c*factor, 1)
				exceeded = exceeded || c*factor > 1
			}
		}
	}
	return out
}

// sample returns each index with its chance, in random order. It is systematic sampling: the number
// of indexes is the sum of the chances, rounded up or down.
func sample(chances []float64, random *rand.Rand) []int {
	var out []int
	next, passed := random.Float64(), 0.0
	for _, i := range random.Perm(len(chances)) {
		if passed += chances[i]; passed > next {
			out = append(out, i)
			next++
		}
	}
	return out
}

const (
	// maxLate is the highest level of slowness.
	maxLate = 3
	// lateHalfLife is the half-life of the mean lateness of timers.
	lateHalfLife = 1 * time.Second
	// slowerInterval and fasterInterval are the minimum times between two changes of the level. A
	// daemon that gets fewer requests is faster, so that the level would go up and down with the
	// answers that callers keep for up to 3 s.
	slowerInterval = 1 * time.Second
	fasterInterval = 4 * time.Second
	// defaultLateLimit is the lateness from which a daemon counts as slow if no route has an
	// objective, and lateFraction its fraction of the shortest objective: a request passes a few
	// timers and queues of the daemon.
	defaultLateLimit = 15 * time.Millisecond
	lateFraction     = 0.1
)

// lateMeter rates how late the timers of this daemon run. A process that waits for the processor
// serves its requests as late.
type lateMeter struct {
	mean      time.Duration
	notedAt   time.Time
	level     uint8
	changedAt time.Time
}

// note records that a timer ran late and reports whether the level changed. limit is the mean
// lateness of the first level; each further level has twice that of the one before. The level falls
// once the mean is below half of what raised it.
func (m *lateMeter) note(late, limit time.Duration, now time.Time) (changed bool) {
	if m.notedAt.IsZero() {
		m.notedAt = now
	}
	keep := decay(now.Sub(m.notedAt), lateHalfLife)
	m.mean = time.Duration(keep*float64(m.mean) + (1-keep)*float64(max(late, 0)))
	m.notedAt = now
	since := now.Sub(m.changedAt)
	switch {
	case m.level < maxLate && m.mean >= limit<<m.level && since >= slowerInterval:
		m.level++
	case m.level > 0 && m.mean < limit<<(m.level-1)/2 && since >= fasterInterval:
		m.level--
	default:
		return false
	}
	m.changedAt = now
	return true
}
