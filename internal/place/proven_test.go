package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against lost requests while sound instances are free, and against sound instances that
// are overloaded because the others lose answers.
func TestProvenInstancesFirst(t *testing.T) {
	now := time.Now()
	instance := func(id string, open int, p Proof) Candidate {
		return Candidate{ID: id, Slots: 6, Open: open, Load: float64(open), Proof: p}
	}
	early, late := Proof{Unproven: true, LostAt: now.Add(-9 * time.Second)}, Proof{Unproven: true, LostAt: now}
	ids := func(all []Candidate) (out []string) {
		for _, c := range Proven(all) {
			out = append(out, c.ID)
		}
		return out
	}
	for name, c := range map[string]struct {
		all  []Candidate
		want []string
	}{
		"room":         {[]Candidate{instance("a", 5, Proof{}), instance("b", 6, Proof{}), instance("c", 0, late)}, []string{"a"}},
		"no room":      {[]Candidate{instance("a", 6, Proof{}), instance("c", 0, late), instance("d", 1, early)}, []string{"d"}},
		"started":      {[]Candidate{instance("a", 6, Proof{}), instance("d", 1, early), instance("e", 2, Proof{Unproven: true})}, []string{"e"}},
		"all full":     {[]Candidate{instance("a", 6, Proof{}), instance("d", 6, early)}, []string{"a", "d"}},
		"all unproven": {[]Candidate{instance("c", 0, late), instance("d", 1, early)}, []string{"c", "d"}},
		"all proven":   {[]Candidate{instance("a", 6, Proof{}), instance("b", 0, Proof{})}, []string{"a", "b"}},
		"none":         {nil, nil},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, ids(c.all)) })
	}
}
