package main

import (
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// faultCase is a fault with the functions that start and end it.
type faultCase struct {
	name   string
	inject func(*testSystem) error
	heal   func(*testSystem) error
}

func noop(*testSystem) error { return nil }

func platformFault(f standin.PlatformFault) func(*testSystem) error {
	return func(w *testSystem) error {
		return cluster.Post("http://"+w.Platform+"/standin/fault", map[string]any{"fault": f}, nil)
	}
}

func engineFault(f standin.EngineFaults) func(*testSystem) error {
	return func(w *testSystem) error {
		for _, e := range w.engines {
			if err := cluster.Post("http://"+e.Address+"/standin/faults", f, nil); err != nil {
				return err
			}
		}
		return nil
	}
}

// inOrder returns a function that calls fs in order until one fails.
func inOrder(fs ...func(*testSystem) error) func(*testSystem) error {
	return func(w *testSystem) error {
		for _, f := range fs {
			if err := f(w); err != nil {
				return err
			}
		}
		return nil
	}
}

func pauseDaemon(w *testSystem) error  { return w.Daemons[0].Pause() }
func resumeDaemon(w *testSystem) error { w.Daemons[0].Resume(); return nil }
func killDaemon(w *testSystem) error   { w.Daemons[0].Kill(); return nil }

// startReplacement starts a new daemon in the failure domain of the killed one.
func startReplacement(w *testSystem) error {
	_, err := w.StartDaemon("gbg-a", func(*settings.Settings) {})
	return err
}

func cutPlatform(w *testSystem) error     { w.platformLink.Cut(); return nil }
func restorePlatform(w *testSystem) error { return w.platformLink.Restore() }
func cutPeers(w *testSystem) error        { w.peerLinks[0].Cut(); return nil }
func restorePeers(w *testSystem) error    { return w.peerLinks[0].Restore() }
func cutEngine(w *testSystem) error       { w.engineLinks[0].Cut(); return nil }
func restoreEngine(w *testSystem) error   { return w.engineLinks[0].Restore() }
func clearLinkFaults(w *testSystem) error {
	w.platformLink.RemoveToxics()
	w.peerLinks[0].RemoveToxics()
	w.engineLinks[0].RemoveToxics()
	return nil
}

var faults = []faultCase{
	{"none", noop, noop},
	{"daemon killed", killDaemon, startReplacement},
	{"daemon paused and woken", pauseDaemon, resumeDaemon},
	{"daemon cut off from the platform", cutPlatform, restorePlatform},
	{"daemon cut off from its peers", cutPeers, restorePeers},
	{"daemon cut off from platform and peers", inOrder(cutPlatform, cutPeers), inOrder(restorePlatform, restorePeers)},
	{"platform answers lost one way", func(w *testSystem) error { return w.platformLink.Blackhole("downstream") }, clearLinkFaults},
	{"platform requests lost one way", func(w *testSystem) error { return w.platformLink.Blackhole("upstream") }, clearLinkFaults},
	{"platform 200 ms slower", func(w *testSystem) error { return w.platformLink.AddLatency("200") }, clearLinkFaults},
	{"platform out", platformFault(standin.FaultRefuse), platformFault(standin.FaultNone)},
	{"platform out, daemon killed", inOrder(platformFault(standin.FaultRefuse), killDaemon), inOrder(platformFault(standin.FaultNone), startReplacement)},
	{"platform out, daemon paused", inOrder(platformFault(standin.FaultRefuse), pauseDaemon), inOrder(platformFault(standin.FaultNone), resumeDaemon)},
	{"platform writes take effect, answers lost", platformFault(standin.FaultLoseAnswer), platformFault(standin.FaultNone)},
	{"engine link cut", cutEngine, restoreEngine},
	{"engine answers lost one way", func(w *testSystem) error { return w.engineLinks[0].Blackhole("downstream") }, clearLinkFaults},
	{"engine link 100 ms slower", func(w *testSystem) error { return w.engineLinks[0].AddLatency("100") }, clearLinkFaults},
	{"engine streams cut every 5 events", engineFault(standin.EngineFaults{CutAfter: 5}), engineFault(standin.EngineFaults{})},
	{"engine events swapped, doubled, foreign", engineFault(standin.EngineFaults{Reorder: true, Duplicate: true, Foreign: true}), engineFault(standin.EngineFaults{})},
	{"engine never answers an attempt", engineFault(standin.EngineFaults{NoAnswer: true}), engineFault(standin.EngineFaults{})},
	{"engines refuse everything", engineFault(standin.EngineFaults{Refuse: "full"}), engineFault(standin.EngineFaults{})},
	{"peer link 100 ms slower", func(w *testSystem) error { return w.peerLinks[0].AddLatency("100") }, clearLinkFaults},
}
