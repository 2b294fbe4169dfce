package terms

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

func given(weight, minimum, cap float64) Given {
	return Given{Weight: &weight, Minimum: &minimum, Cap: &cap}
}

// Guards against settings that the division cannot keep, and against an error that does not name
// the wrong field.
func TestDeclaredTermsAreChecked(t *testing.T) {
	tenth, zero := 0.1, 0.0
	tenths := Declared{}
	for _, name := range "abcdefghij" {
		tenths[string(name)] = Given{Minimum: &tenth}
	}
	for _, valid := range []Declared{nil, {"a": {}}, {"a": given(2, 0.5, 0.5), "b": given(0.001, 0.5, 0)}, tenths} {
		require.NoError(t, valid.Check("/o"))
	}
	for want, invalid := range map[string]Declared{
		"/o/a/weight: must be above 0":                             {"a": {Weight: &zero}},
		"/o/a/weight: must be from 0.001 to 1000":                  {"a": given(math.Inf(1), 0, 0)},
		"/o/a/minimum: must be from 0 to 1":                        {"a": given(1, math.NaN(), 0)},
		"/o/b/cap: must be from 0 to 1":                            {"a": {}, "b": given(1, 0, 1.5)},
		"/o/a/minimum: 0.3 is above the cap of 0.2":                {"a": given(1, 0.3, 0.2)},
		"/o/*/minimum: the minimums are 1.1 together, more than 1": {"a": given(1, 0.6, 0), "b": given(1, 0.5, 0)},
		"/o: an organisation without a name":                       {"": {}},
	} {
		require.EqualError(t, invalid.Check("/o"), want)
	}
	require.Equal(t, map[string]capacity.Terms{"a": {Weight: 1, Minimum: 0.1}}, ForAccount(Declared{"a": {Minimum: &tenth}}.Values()))
}
