package main

import (
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// injected is a fault and how it ends.
type injected struct {
	name   string
	inject func(*world) error
	heal   func(*world) error
}

func nothing(*world) error { return nil }

func platformFault(f standin.PlatformFault) func(*world) error {
	return func(w *world) error {
		return cluster.Post("http://"+w.Platform+"/standin/fault", map[string]any{"fault": f}, nil)
	}
}

func engineFault(f standin.EngineFaults) func(*world) error {
	return func(w *world) error {
		for _, e := range w.engines {
			if err := cluster.Post("http://"+e.Address+"/standin/faults", f, nil); err != nil {
				return err
			}
		}
		return nil
	}
}

// all does several things one after the other.
func all(fs ...func(*world) error) func(*world) error {
	return func(w *world) error {
		for _, f := range fs {
			if err := f(w); err != nil {
				return err
			}
		}
		return nil
	}
}

func freeze(w *world) error { return w.Daemons[0].Freeze() }
func wake(w *world) error   { w.Daemons[0].Wake(); return nil }
func kill(w *world) error   { w.Daemons[0].Kill(); return nil }

// replace starts a daemon in place of a dead one.
func replace(w *world) error {
	_, err := w.StartDaemon("gbg-a", func(*settings.Settings) {})
	return err
}

func cutPlatform(w *world) error     { w.platform.Cut(); return nil }
func restorePlatform(w *world) error { return w.platform.Restore() }
func cutPeers(w *world) error        { w.peers[0].Cut(); return nil }
func restorePeers(w *world) error    { return w.peers[0].Restore() }
func cutEngine(w *world) error       { w.links[0].Cut(); return nil }
func restoreEngine(w *world) error   { return w.links[0].Restore() }
func healLinks(w *world) error {
	w.platform.Heal()
	w.peers[0].Heal()
	w.links[0].Heal()
	return nil
}

var faults = []injected{
	{"none", nothing, nothing},
	{"daemon killed", kill, replace},
	{"daemon paused and woken", freeze, wake},
	{"daemon cut off from the platform", cutPlatform, restorePlatform},
	{"daemon cut off from its peers", cutPeers, restorePeers},
	{"daemon cut off from platform and peers", all(cutPlatform, cutPeers), all(restorePlatform, restorePeers)},
	{"platform answers lost one way", func(w *world) error { return w.platform.Hold("downstream") }, healLinks},
	{"platform requests lost one way", func(w *world) error { return w.platform.Hold("upstream") }, healLinks},
	{"platform 200 ms slower", func(w *world) error { return w.platform.Slow("200") }, healLinks},
	{"platform out", platformFault(standin.FaultRefuse), platformFault(standin.FaultNone)},
	{"platform out, daemon killed", all(platformFault(standin.FaultRefuse), kill), all(platformFault(standin.FaultNone), replace)},
	{"platform out, daemon paused", all(platformFault(standin.FaultRefuse), freeze), all(platformFault(standin.FaultNone), wake)},
	{"platform writes take effect, answers lost", platformFault(standin.FaultLoseAnswer), platformFault(standin.FaultNone)},
	{"engine link cut", cutEngine, restoreEngine},
	{"engine answers lost one way", func(w *world) error { return w.links[0].Hold("downstream") }, healLinks},
	{"engine link 100 ms slower", func(w *world) error { return w.links[0].Slow("100") }, healLinks},
	{"engine streams cut every 5 events", engineFault(standin.EngineFaults{CutAfter: 5}), engineFault(standin.EngineFaults{})},
	{"engine events swapped, doubled, foreign", engineFault(standin.EngineFaults{Reorder: true, Duplicate: true, Foreign: true}), engineFault(standin.EngineFaults{})},
	{"engine never answers an attempt", engineFault(standin.EngineFaults{NoAnswer: true}), engineFault(standin.EngineFaults{})},
	{"engines refuse everything", engineFault(standin.EngineFaults{Refuse: "full"}), engineFault(standin.EngineFaults{})},
	{"peer link 100 ms slower", func(w *world) error { return w.peers[0].Slow("100") }, healLinks},
}
