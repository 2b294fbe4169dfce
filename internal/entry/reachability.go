package entry

import "github.com/hornbeamsill/hornbeamsill/internal/member"

// servingDaemons returns the daemons to which the directory leads callers: those that serve callers
// and, while they are at least half of these, only those that reach all services. Each request to
// another daemon would take a second one's capacity. If most are cut off, the others could not take
// all callers.
func servingDaemons(live []member.Daemon) []member.Daemon {
	var all, reaching []member.Daemon
	for _, d := range live {
		if d.CallerURL == "" {
			continue
		}
		all = append(all, d)
		if len(d.CutOff) == 0 {
			reaching = append(reaching, d)
		}
	}
	if 2*len(reaching) >= len(all) {
		return reaching
	}
	return all
}
