package capacity

import "math"

// Terms are what an operator grants an organisation at services that are short of capacity. With
// the zero value it has the same rights as others with the zero value.
type Terms struct {
	// Weight is its weight in the division; 0 means 1.
	Weight float64
	// Minimum is a guaranteed fraction of the capacity, and Cap the highest fraction; 0 means
	// none.
	Minimum, Cap float64
}

// minFraction bounds how far an organisation is cut, as a part of the fraction of its work that
// all would get alike. Its callers have done nothing wrong by sending more than usual.
const minFraction = 0.25

// shares are the fractions of their offered work that organisations may start.
type shares struct {
	fractions map[Key]float64
	// others is the fraction of the organisations that have none of their own.
	others float64
}

// of returns the fraction of an organisation and whether it is limited.
func (s shares) of(organisation Key) (fraction float64, limited bool) {
	fraction, ok := s.fractions[organisation]
	if !ok {
		fraction = s.others
	}
	// A fraction just below 1 comes from rounding.
	if fraction > 1-1e-9 {
		return 1, false
	}
	return fraction, true
}

// unlimited are the shares while nobody is limited.
func unlimited() shares { return shares{others: 1} }

// claim is the claim of one organisation on the capacity.
type claim struct{ weight, low, high, granted float64 }

// divide divides capacity between demands by weighted max-min fairness: an organisation gets its
// demand or, if that is more, a part of the capacity in proportion to its weight, and at least
// minFraction of the fraction that all would get alike.
func divide(capacity float64, demands map[Key]float64, terms map[Key]Terms) shares {
	total, smallest := 0.0, math.Inf(1)
	for key, demand := range demands {
		total += demand
		if key != OtherOrganisations && demand > 0 {
			smallest = min(smallest, demand)
		}
	}
	if total <= capacity || capacity <= 0 {
		// A service that completes nothing has failed. Nothing can be divided then.
		return unlimited()
	}
	alike := capacity / total
	claims := make(map[Key]*claim, len(demands))
	for key, demand := range demands {
		t := terms[key]
		c := &claim{weight: t.Weight, high: demand}
		if c.weight <= 0 {
			c.weight = 1
		}
		if key == OtherOrganisations && smallest < demand {
			// Each of them has at most the demand of the smallest organisation with an entry of
			// its own, so there are at least this many.
			c.weight = math.Ceil(demand / smallest)
		}
		if t.Cap > 0 {
			c.high = min(c.high, t.Cap*capacity)
		}
		c.low = min(max(minFraction*alike*demand, t.Minimum*capacity), c.high)
		claims[key] = c
	}
	fill(capacity, claims)
	out := shares{fractions: make(map[Key]float64, len(claims)), others: 1}
	for key, c := range claims {
		if demands[key] > 0 {
			out.fractions[key] = min(c.granted/demands[key], 1)
		}
	}
	if fraction, ok := out.fractions[OtherOrganisations]; ok {
		out.others = fraction
	}
	return out
}

// fillSteps is the number of bisection steps of fill. They determine the level to one part in 10^12.
const fillSteps = 40

// fill grants each claim the common level times its weight, within its bounds. The level is the
// one at which the grants add up to the capacity.
func fill(capacity float64, claims map[Key]*claim) {
	lows, top := 0.0, 0.0
	for _, c := range claims {
		lows += c.low
		top = max(top, c.high/c.weight)
	}
	if lows >= capacity {
		for _, c := range claims {
			c.granted = c.low * capacity / lows
		}
		return
	}
	bottom := 0.0
	for range fillSteps {
		level, sum := (bottom+top)/2, 0.0
		for _, c := range claims {
			c.granted = min(max(level*c.weight, c.low), c.high)
			sum += c.granted
		}
		if sum > capacity {
			top = level
		} else {
			bottom = level
		}
	}
}
