// Package overload decides which parts of the handling of overload and of uneven instances
// apply to a service: by default those that the deployment calls for. It does no I/O.
package overload

import (
	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// Mode says when a part applies.
type Mode string

// Modes.
const (
	// Auto applies a part where the deployment calls for it.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// Check returns an error that names the field if the mode is unknown.
func (m Mode) Check(field string) error {
	switch m {
	case Auto, On, Off:
		return nil
	}
	return trace.BadParameter("%s: %q is none of auto, on, off", field, string(m))
}

// Settings has the mode of each part.
type Settings struct {
	// Admission queues requests at the daemon until an instance can start them, and refuses at
	// once what cannot be served in time.
	Admission Mode `json:"admission"`
	// FairShares divides a service that is short of room between organisations.
	FairShares Mode `json:"fair_shares"`
	// ModelPrice runs the largest model by the chance that its answer ends in time.
	ModelPrice Mode `json:"model_price"`
	// InstanceSpeed places requests by the expected time at each instance.
	InstanceSpeed Mode `json:"instance_speed"`
	// ProvenInstances keeps requests that must not be repeated away from instances that lose or
	// corrupt answers.
	ProvenInstances Mode `json:"proven_instances"`
	// SlowCallers bounds the bytes held for slow callers and instances.
	SlowCallers Mode `json:"slow_callers"`
	// RestartSurvey asks engines for their state after a daemon has started.
	RestartSurvey Mode `json:"restart_survey"`
	// DirectoryWeights names daemons to callers in proportion to what each can carry.
	DirectoryWeights Mode `json:"directory_weights"`
	// Organisations are the terms of organisations where FairShares applies.
	Organisations terms.Declared `json:"organisations"`
}

// DefaultSettings returns settings with all parts in the mode Auto, except two. Before engines that
// queue by priority themselves, callers were not served better with admission control and the shares
// that it enforces. With a directory by weights, the few large daemons get most callers while a fleet
// restarts, and are overloaded.
func DefaultSettings() Settings {
	return Settings{
		Admission: Off, FairShares: Off, ModelPrice: Auto, InstanceSpeed: Auto, ProvenInstances: Auto,
		SlowCallers: Auto, RestartSurvey: Auto, DirectoryWeights: Off,
	}
}

// Check returns an error for the first mode that is unknown. prefix is the path of the settings.
func (s Settings) Check(prefix string) error {
	for _, part := range []struct {
		name string
		mode Mode
	}{
		{"admission", s.Admission}, {"fair_shares", s.FairShares}, {"model_price", s.ModelPrice},
		{"instance_speed", s.InstanceSpeed}, {"proven_instances", s.ProvenInstances}, {"slow_callers", s.SlowCallers},
		{"restart_survey", s.RestartSurvey}, {"directory_weights", s.DirectoryWeights},
	} {
		if err := part.mode.Check(prefix + "/" + part.name); err != nil {
			return err
		}
	}
	return s.Organisations.Check(prefix + "/organisations")
}

// Policy answers whether a part applies.
type Policy struct {
	settings Settings
	// contended is set if the deployment declares that callers compete for its instances.
	contended bool
	machines  SharedMachines
}

// SharedMachines tells which services have instances whose speed changes because they share
// their machines with other programs.
type SharedMachines interface {
	SharesMachines(service string) bool
	AnySharesMachines() bool
}

// NewPolicy returns a Policy.
func NewPolicy(s Settings, contended bool, machines SharedMachines) *Policy {
	return &Policy{settings: s, contended: contended, machines: machines}
}

func (p *Policy) applies(m Mode, called func() bool) bool {
	return m == On || m == Auto && called()
}

// called reports whether the deployment calls for the handling of overload at a service.
func (p *Policy) called(service string) func() bool {
	return func() bool { return p.contended || p.machines.SharesMachines(service) }
}

func (p *Policy) calledAnywhere() bool { return p.contended || p.machines.AnySharesMachines() }

// Admission reports whether requests for the service are queued and refused by expected time.
func (p *Policy) Admission(service string) bool {
	return p.applies(p.settings.Admission, p.called(service))
}

// FairShares reports whether room at the service is divided between organisations.
func (p *Policy) FairShares(service string) bool {
	return p.applies(p.settings.FairShares, p.called(service))
}

// FairSharesAnywhere reports whether FairShares is true of any service.
func (p *Policy) FairSharesAnywhere() bool {
	return p.applies(p.settings.FairShares, p.calledAnywhere)
}

// CountsUsage reports whether daemons count the work of the service: fair shares and admission
// control go by it.
func (p *Policy) CountsUsage(service string) bool {
	return p.FairShares(service) || p.Admission(service)
}

// ExchangesUsage reports whether CountsUsage is true of any service.
func (p *Policy) ExchangesUsage() bool {
	return p.FairSharesAnywhere() || p.applies(p.settings.Admission, p.calledAnywhere)
}

// ModelPrice reports whether the largest model runs by the chance that its answer ends in time.
func (p *Policy) ModelPrice(service string) bool {
	return p.applies(p.settings.ModelPrice, p.called(service))
}

// InstanceSpeed reports whether requests are placed by the expected time at each instance.
func (p *Policy) InstanceSpeed(service string) bool {
	return p.applies(p.settings.InstanceSpeed, func() bool { return p.machines.SharesMachines(service) })
}

// ProvenInstances reports whether requests that must not be repeated need a proven instance.
func (p *Policy) ProvenInstances(service string) bool {
	return p.applies(p.settings.ProvenInstances, p.called(service))
}

// SlowCallers reports whether the bytes held for slow callers and instances are bounded.
func (p *Policy) SlowCallers() bool { return p.applies(p.settings.SlowCallers, p.calledAnywhere) }

// RestartSurvey reports whether engines are asked for their state after a start.
func (p *Policy) RestartSurvey() bool { return p.applies(p.settings.RestartSurvey, p.calledAnywhere) }

// DirectoryWeights reports whether daemons are named to callers by what each can carry.
func (p *Policy) DirectoryWeights() bool {
	return p.applies(p.settings.DirectoryWeights, p.calledAnywhere)
}
