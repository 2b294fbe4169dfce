package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// The system size for which the costs are extrapolated.
const (
	daemons        = 1300.0
	requestsPerSec = 87_000.0
	organisations  = 1000.0
	changesPerDay  = 17_000.0
	secondsPerDay  = 86_400.0
	// membershipEventsPerDay counts 70 failures and 2000 replacements of daemons. Each is
	// two events: one daemon leaves and one joins.
	membershipEventsPerDay = 2*70 + 2*2000.0
	upstreamsSeen          = 20.0
	versionsServed         = 2.0
	answerSeconds          = 8.0 // 218 tokens at 36 ms
	// keyedShare is the share of requests with an idempotency key. It is an assumption.
	keyedShare = 0.3
	keySeconds = 2 * 3600.0 // time for which a daemon keeps an idempotency key
	ratedKinds = 19 * 6.0   // 19 versions, 6 kinds of requests
)

// printProjection prints the cost per daemon, extrapolated from the slopes to the system size
// above.
func printProjection(all []slope) {
	by := map[string]slope{}
	for _, s := range all {
		by[s.Name] = s
	}
	perDaemon := requestsPerSec / daemons
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', 0)
	row := func(what string, value float64, unit string) {
		fmt.Fprintf(w, "| %s\t| %.3g %s\t|\n", what, value, unit)
	}
	fmt.Fprintln(w, "| per daemon at 1,300 daemons\t| worked out\t|")
	fmt.Fprintln(w, "| ---\t| ---\t|")
	row("requests", perDaemon, "/s")
	row("open requests", perDaemon*answerSeconds, "")
	row("memory: daemons known", by["daemons known: memory"].costAt(daemons)/1e6, "MB")
	row("memory: configuration (1,000 organisations)", by["organisations: memory of the configuration"].costAt(organisations)/1e6, "MB")
	row("memory: open answers", by["open answers: memory (218 tokens)"].Each*perDaemon*answerSeconds/1e6, "MB")
	row("memory: kept answers, 64 MiB bound reached after", 64<<20/(by["kept answers: memory (218 tokens)"].Each*perDaemon), "s")
	row("memory: keys (30% keyed, 2 h)", by["idempotency keys: memory"].Each*perDaemon*keyedShare*keySeconds/1e6, "MB")
	row("memory: copies of bills, commit every 8.7 s", by["bills held for peers: memory"].Each*2*perDaemon*(daemons/150+answerSeconds)/1e6, "MB")
	heartbeat := by["heartbeat, both ways, with n pieces of news each way"]
	updatesPerSecond := membershipEventsPerDay / secondsPerDay
	row("heartbeats sent and received, 4 each every 2 s", 4*heartbeat.Costs[0], "B/s")
	row("news, 33 tellings of each", updatesPerSecond*33*heartbeat.Each, "B/s")
	row("load reports, 20 upstreams, report_bytes_per_second 900: every", by["load report over HTTP"].costAt(versionsServed)*upstreamsSeen/900, "s")
	row("changes: an overlay of 10 overrides each, a quarter for this site", changesPerDay/secondsPerDay/4*by["delta of one changed overlay"].costAt(10), "B/s")
	row("changes: a base of 1,000 organisations, once an hour", by["organisations: size of the base"].costAt(organisations)/3600, "B/s")
	row("demand of 10 organisations a second (5 of them allotted here)", 1.5*by["demand of organisations"].costAt(10)/2, "B/s")
	row("rating summary every 10 s", by["rating summary"].costAt(ratedKinds)/10, "B/s")
	row("copies of bills (open, attempt, close; 2 holders)", by["copies of bills to one holder"].Each*perDaemon*2*2, "B/s (with the requests, not control)")
	row("committed bills, all daemons", by["row of committed bills"].Each*requestsPerSec/1e6, "MB/s to the platform")
	row("processor: choosing an upstream", by["upstreams seen: choosing one"].costAt(64)*perDaemon/1e4, "% of a core (with the requests)")
	row("processor: heartbeat targets and duty checks, 5 a second", 5*(by["daemons known: choosing heartbeat targets"].costAt(daemons)+by["daemons known: duty check"].costAt(daemons))/1e4, "% of a core")
	row("processor: bringing a base of 1,000 organisations into force, per change", by["organisations: bringing a base into force"].costAt(organisations)/1e3, "ms")
	row("processor: all changes", changesPerDay/secondsPerDay*by["organisations: bringing a base into force"].costAt(organisations)/1e4, "% of a core")
	w.Flush()
}
