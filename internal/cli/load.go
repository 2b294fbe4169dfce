package cli

import (
	"io"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
)

// loadCommand prints the demand and the capacity of services over all daemons, as a daemon for
// plain HTTP callers knows them.
type loadCommand struct {
	noopCommander
	metricsOption
	Terms loadTerms `command:"terms" description:"terms of organisations at services that are short of capacity"`
}

func (c *loadCommand) run(a *app) error {
	var load entry.LoadStatus
	if err := c.get(entry.LoadPath, &load); err != nil {
		return err
	}
	return a.print(load, func(w io.Writer) { printLoad(w, load) })
}

func printLoad(w io.Writer, load entry.LoadStatus) {
	printLine(w, "daemon\t%s\texchanged %v\tdaemons %d", load.Instance, load.Exchanged, load.Daemons)
	for _, s := range load.Services {
		printLine(w, "service\t%s\tshort %v\tisolated %v\t%d ms old\tdemand %.2f\tcompleted %.2f\tcapacity %.2f\twaiting %d\trefused %.2f/s",
			s.Name, s.Short, s.Isolated, s.AgeMS, s.DemandPerS, s.CompletedPerS, s.CapacityPerS, s.Waiting, s.RefusedPerS)
		printLine(w, "here\t%s\tdemand %.2f\tcompleted %.2f\twaiting %d", s.Name, s.OwnDemandPerS, s.OwnCompletedPerS, s.OwnWaiting)
		for _, o := range s.Organisations {
			printLine(w, "organisation\t%s\t%s\tdemand %.2f\trefused %.2f/s\tshare %.3f", s.Name, o.Name, o.DemandPerS, o.RefusedPerS, o.Share)
		}
	}
}
