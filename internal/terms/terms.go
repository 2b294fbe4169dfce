// Package terms decides which terms organisations have at services that are short of capacity:
// those that the settings declare, or those by which operators override them for a limited time.
// It does no I/O.
package terms

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

const (
	// minWeight and maxWeight bound weights. The division searches a level common to all
	// organisations and does not find it if weights differ by many orders of magnitude.
	minWeight, maxWeight = 0.001, 1000
	// rounding is how far a sum of fractions may exceed 1: ten times 0.1 is not exactly 1.
	rounding = 1e-9
)

// Values are the terms of an organisation.
type Values struct {
	// Weight is its weight in the division of a service's capacity.
	Weight float64 `json:"weight"`
	// Minimum is a guaranteed fraction of the capacity, and Cap the highest fraction; 0 means
	// none.
	Minimum float64 `json:"minimum"`
	Cap     float64 `json:"cap"`
}

// DefaultValues are the terms of an organisation for which nothing is set.
var DefaultValues = Values{Weight: 1}

// Given are the values that a setting or an operator gives; nil keeps the present one.
type Given struct {
	Weight  *float64 `json:"weight,omitempty"`
	Minimum *float64 `json:"minimum,omitempty"`
	Cap     *float64 `json:"cap,omitempty"`
}

// over returns the present values with the given ones in their place.
func (g Given) over(present Values) Values {
	for _, v := range []struct {
		to    *float64
		given *float64
	}{{&present.Weight, g.Weight}, {&present.Minimum, g.Minimum}, {&present.Cap, g.Cap}} {
		if v.given != nil {
			*v.to = *v.given
		}
	}
	return present
}

// Check returns an error that names the field if a value is out of range. prefix is the path of
// the organisation's terms.
func (v Values) Check(prefix string) error {
	// The negated comparisons also reject NaN.
	switch {
	case !(v.Weight > 0):
		return trace.BadParameter("%sweight: must be above 0", prefix)
	case !(v.Weight >= minWeight && v.Weight <= maxWeight):
		return trace.BadParameter("%sweight: must be from %v to %v", prefix, minWeight, maxWeight)
	case !(v.Minimum >= 0 && v.Minimum <= 1):
		return trace.BadParameter("%sminimum: must be from 0 to 1", prefix)
	case !(v.Cap >= 0 && v.Cap <= 1):
		return trace.BadParameter("%scap: must be from 0 to 1", prefix)
	case v.Cap > 0 && v.Minimum > v.Cap:
		return trace.BadParameter("%sminimum: %v is above the cap of %v", prefix, v.Minimum, v.Cap)
	}
	return nil
}

// Declared are the terms in the settings, by organisation.
type Declared map[string]Given

// Values returns the declared terms with defaults.
func (d Declared) Values() map[string]Values {
	out := make(map[string]Values, len(d))
	for organisation, given := range d {
		out[organisation] = given.over(DefaultValues)
	}
	return out
}

// Check returns an error that names the field if the terms are out of range or do not go
// together. prefix is the path of the settings.
func (d Declared) Check(prefix string) error {
	all := d.Values()
	for _, organisation := range slices.Sorted(maps.Keys(all)) {
		if organisation == "" {
			return trace.BadParameter("%s: an organisation without a name", prefix)
		}
		if err := all[organisation].Check(prefix + "/" + organisation + "/"); err != nil {
			return err
		}
	}
	if sum := sumOfMinimums(all); sum > 1+rounding {
		return trace.BadParameter("%s/*/minimum: the minimums are %.4g together, more than 1", prefix, sum)
	}
	return nil
}

func sumOfMinimums(all map[string]Values) float64 {
	sum := 0.0
	// In a fixed order, all daemons round alike.
	for _, organisation := range slices.Sorted(maps.Keys(all)) {
		sum += all[organisation].Minimum
	}
	return sum
}

// ForAccount converts terms for capacity.Account.
func ForAccount(all map[string]Values) map[string]capacity.Terms {
	out := make(map[string]capacity.Terms, len(all))
	for organisation, v := range all {
		out[organisation] = capacity.Terms(v)
	}
	return out
}
