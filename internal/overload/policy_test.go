package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type shared map[string]bool

func (s shared) SharesMachines(service string) bool { return s[service] }
func (s shared) AnySharesMachines() bool            { return len(s) > 0 }

// allAuto returns settings with all parts in the mode Auto.
func allAuto() Settings {
	s := DefaultSettings()
	s.Admission, s.FairShares, s.DirectoryWeights = Auto, Auto, Auto
	return s
}

// Guards against parts that take effect without being switched on although they may do harm.
func TestPartsThatAreOffByDefault(t *testing.T) {
	p := NewPolicy(DefaultSettings(), true, shared{"a": true})
	require.False(t, p.Admission("a") || p.FairShares("a") || p.CountsUsage("a") || p.ExchangesUsage() || p.DirectoryWeights())
	require.True(t, p.ModelPrice("a") && p.InstanceSpeed("a") && p.ProvenInstances("a") && p.SlowCallers() && p.RestartSurvey())
}

// Guards against a part that takes effect in a deployment that does not call for it, or that an
// operator cannot switch.
func TestPartsApplyWhereCalledFor(t *testing.T) {
	calm := NewPolicy(allAuto(), false, shared{})
	require.False(t, calm.Admission("a") || calm.FairShares("a") || calm.ModelPrice("a") || calm.InstanceSpeed("a") ||
		calm.ProvenInstances("a") || calm.SlowCallers() || calm.RestartSurvey() || calm.DirectoryWeights())

	uneven := NewPolicy(allAuto(), false, shared{"a": true})
	require.True(t, uneven.Admission("a") && uneven.InstanceSpeed("a") && uneven.SlowCallers())
	require.False(t, uneven.Admission("b") || uneven.InstanceSpeed("b"))

	contended := NewPolicy(allAuto(), true, shared{})
	require.True(t, contended.Admission("a") && contended.FairShares("a") && contended.RestartSurvey())
	require.False(t, contended.InstanceSpeed("a"), "no instance reports its slowdown")

	require.False(t, calm.CountsUsage("a") || calm.ExchangesUsage() || uneven.CountsUsage("b"))
	require.True(t, uneven.CountsUsage("a") && uneven.ExchangesUsage() && contended.CountsUsage("a"))

	switched := allAuto()
	switched.Admission, switched.InstanceSpeed = Off, On
	p := NewPolicy(switched, true, shared{})
	require.False(t, p.Admission("a"))
	require.True(t, p.CountsUsage("a") && p.ExchangesUsage(), "fair shares still need it")
	switched.FairShares = Off
	off := NewPolicy(switched, true, shared{})
	require.False(t, off.CountsUsage("a") || off.ExchangesUsage())
	require.True(t, p.InstanceSpeed("a"))
}

// Guards against an error that does not name the wrong field.
func TestUnknownModeNamesField(t *testing.T) {
	require.NoError(t, DefaultSettings().Check("/routes/overload"))
	s := DefaultSettings()
	s.SlowCallers = "sometimes"
	require.EqualError(t, s.Check("/routes/overload"), `/routes/overload/slow_callers: "sometimes" is none of auto, on, off`)
}
