//go:build review

// Command 5 shows that a manifest which the store has acknowledged is not in force at machines in
// touch, after an outage of the store from which it comes back for two thirds of the machines first.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/review/rig2"
)

const (
	// daemons is the number of machines of the users' site, and turnedAway the number of them that the
	// store turns away, as many as the bench takes for a share of 0.35.
	daemons    = 8
	turnedAway = 3
	// silence is how long the store is down for all machines, and away how long it turns some away.
	silence = 2900 * time.Millisecond
	away    = 9 * time.Second
	// rounds is how often the outage is played if no rule is broken.
	rounds = 4
	// calm is the time before an outage, and watch how long requests are sent after its beginning.
	calm  = 5 * time.Second
	watch = 12 * time.Second

	host       = "shop.example"
	keptKey    = "key-that-stays"
	service    = "mailbox-web"
	probePause = 60 * time.Millisecond
)

func manifest(version int64, keys []string) wire.Manifest {
	return wire.Manifest{
		Version: version,
		Routes: []wire.Route{
			{Name: "folder-list", Host: host, Prefix: "/folders/", RouteType: wire.KindSafe, TimeoutMS: 1500, TargetLatencyMS: 300, Service: service, MaxAttempts: 2},
		},
		Services: []wire.Service{{Name: service, HealthPath: "/health", MaxConnections: 110}},
		Limits:   wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []wire.Tenant{{Name: "office", APIKeys: keys}},
	}
}

// probe is a request with a key that has been taken away.
type probe struct {
	daemon *rig2.Daemon
	id     string
	sentAt time.Time
	status int
	err    error
}

func main() { rig2.Main(run) }

func run(rig *rig2.Rig, record *rig2.Record, trouble bool) (int, error) {
	version := int64(3)
	key := func(round int) string { return fmt.Sprintf("key-of-round-%d", round) }
	var all []string
	for round := range rounds {
		all = append(all, key(round))
	}
	rig.Store.PutManifest(manifest(version, append([]string{keptKey}, all...)))
	zones := []string{"tbs-hall-a", "tbs-hall-b", "tbs-hall-c"}
	var servers []*platformtest.Server
	for i, zone := range zones {
		servers = append(servers, rig.StartServer(platformtest.ServerOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: service, FailureDomain: zone, Version: "v1", Slots: 6, Delay: 5 * time.Millisecond,
		}))
	}
	rig.Beat()
	if err := rig.StartDaemons(daemons, zones); err != nil {
		return rig2.NotRun, err
	}
	if err := rig.AwaitReady(15 * time.Second); err != nil {
		return rig2.NotRun, err
	}
	record.Printf("%d daemons are ready", daemons)
	for round := range rounds {
		version += 2
		next := manifest(version, append([]string{keptKey}, all[round+1:]...))
		broken, err := playRound(rig, record, trouble, round, key(round), next, servers)
		if err != nil {
			return rig2.NotRun, err
		}
		if broken > 0 {
			record.Printf("CONFIG is broken: %d requests with the key that was taken away ran", broken)
			fmt.Printf("broken: CONFIG, %d requests\n", broken)
			return rig2.Broken, nil
		}
	}
	fmt.Println("held")
	return rig2.Held, nil
}

// readers returns the daemons in the order in which they read the list of servers most often.
func readers(rig *rig2.Rig, since time.Time) []*rig2.Daemon {
	out := append([]*rig2.Daemon(nil), rig.Daemons...)
	for i := range out {
		for j := i + 1; j < len(out); j++ {
			if out[j].Front.ListsSince(since) > out[i].Front.ListsSince(since) {
				out[i], out[j] = out[j], out[i]
			}
		}
	}
	return out
}

// playRound takes a key away during an outage of the store, and returns how many requests with it ran
// against the rule.
func playRound(rig *rig2.Rig, record *rig2.Record, trouble bool, round int, key string, next wire.Manifest, servers []*platformtest.Server) (broken int, err error) {
	time.Sleep(calm)
	for _, d := range rig.Daemons {
		if p := send(rig, d, fmt.Sprintf("check-%d-%s", round, d.Name), key); p.status != http.StatusOK {
			return 0, fmt.Errorf("%s answers %d (%v) before the outage", d.Name, p.status, p.err)
		}
	}
	ranked := readers(rig, time.Now().Add(-2*time.Second))
	refused, served := ranked[:turnedAway], ranked[turnedAway:]
	begin := time.Now()
	var returned, acked time.Time
	if trouble {
		for _, d := range rig.Daemons {
			d.Front.Set(rig2.Silent)
		}
		rig.SetSilent(true)
		record.Printf("round %d: the store is silent for %v", round, silence)
		time.Sleep(silence)
		for _, d := range refused {
			d.Front.Set(rig2.TurningAway)
			record.Printf("round %d: the store answers 503 to %s for %v", round, d.Name, away-silence)
		}
		for _, d := range served {
			d.Front.Set(rig2.Serving)
		}
		rig.SetSilent(false)
		time.AfterFunc(away-silence, func() {
			for _, d := range refused {
				d.Front.Set(rig2.Serving)
			}
		})
		returned = time.Now()
		record.Printf("round %d: the store serves the others again", round)
	} else {
		time.Sleep(silence)
		returned = begin
	}
	rig.Store.PutManifest(next)
	acked = time.Now()
	record.Printf("round %d: manifest %d without the key %s is acknowledged", round, next.Version, key)
	// In touch: the store has been without disturbance for ContactTime. The daemons that are turned away are
	// not in touch. Only requests sent later than both bounds count.
	from := acked.Add(rig2.ConfigApplyTime)
	if stable := returned.Add(rig2.ContactTime); trouble && stable.After(from) {
		from = stable
	}
	var mu sync.Mutex
	var probes []probe
	var clients sync.WaitGroup
	for _, d := range served {
		clients.Go(func() {
			for n := 0; time.Since(begin) < watch; n++ {
				p := send(rig, d, fmt.Sprintf("r%d-%s-%d", round, d.Name, n), key)
				mu.Lock()
				probes = append(probes, p)
				mu.Unlock()
				time.Sleep(probePause)
			}
		})
	}
	clients.Wait()
	ran := map[string]string{}
	for _, s := range servers {
		for _, r := range s.Received() {
			if r.Behaviour.Runs() {
				ran[r.ID] = r.Header.Get(wire.HeaderExpectInstance)
			}
		}
	}
	for _, p := range probes {
		server, wasRun := ran[p.id]
		late := p.sentAt.After(from)
		record.Printf("request %s sent %.3f s after the acknowledgement, %.3f s after the store's return, to %s: answered %d, run by %q, counts %v",
			p.id, p.sentAt.Sub(acked).Seconds(), p.sentAt.Sub(returned).Seconds(), p.daemon.Name, p.status, server, late)
		if late && wasRun {
			broken++
		}
	}
	return broken, nil
}

func send(rig *rig2.Rig, d *rig2.Daemon, id, key string) probe {
	call := platformtest.Call{Method: http.MethodGet, Host: host, Path: "/folders/1", ID: id, Key: key, Timeout: 3 * time.Second}
	p := probe{daemon: d, id: id, sentAt: time.Now()}
	reply := call.Send(context.Background(), rig.Client, d.Callers)
	p.status, p.err = reply.Status, reply.Err
	return p
}
