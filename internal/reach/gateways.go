package reach

import "math/rand/v2"

// Gateway is a daemon through which instances of a service are reached.
type Gateway struct {
	// Near is set if it is in the same failure domain.
	Near bool
	// Free is the number of tunnels that it can still carry, and Limit the number that it can carry in
	// all.
	Free, Limit int
}

// Choose returns the index of the gateway for the next tunnel: a near one while near ones have at
// least half of their capacity free, and otherwise any, at random in proportion to the free capacity.
// ok is false if none has any.
func Choose(all []Gateway, random *rand.Rand) (index int, ok bool) {
	weights, total := make([]int, len(all)), 0
	for i, g := range all {
		if g.Near && g.Free > 0 && 2*g.Free >= g.Limit {
			weights[i] = g.Free
			total += g.Free
		}
	}
	if total == 0 {
		for i, g := range all {
			weights[i] = max(g.Free, 0)
			total += weights[i]
		}
	}
	if total == 0 {
		return 0, false
	}
	at := random.IntN(total)
	for i, w := range weights {
		if at < w {
			return i, true
		}
		at -= w
	}
	return 0, false
}
