//go:build review

// This test shows a fault that is not among the cases of the review: a faulty server sends bytes that are no
// answer. The daemon keeps them in memory while it looks for the end of the first line, until the platform
// ends it.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/review/rig"
)

const (
	host    = "ledger.example"
	key     = "key-of-visrad"
	service = "ledger"
	path    = "/statement/one"

	servers = 3
	// faulty is the number of servers that send such bytes: a share of 0.33.
	faulty = 1
	// noiseShare is the share of the answers of a faulty server in place of which it sends them.
	noiseShare = 0.05
	// memoryMB is the limit of each process, and minMachines and minEnds are those of the rule.
	memoryMB    = 284
	minMachines = 2
	minEnds     = 3

	daemons    = 3
	rate       = 40
	duration   = 60 * time.Second
	timeBudget = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord("review/more/memory")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.NotRun
	}
	defer record.Close()
	code, err := play(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		record.Add("the case could not run: %v", err)
		return rig.NotRun
	}
	return code
}

func manifest() wire.Manifest {
	return wire.Manifest{
		Version: 3,
		Routes: []wire.Route{
			{Name: "statement", Host: host, Prefix: "/statement/", RouteType: wire.KindUnsafe, TimeoutMS: 1500, TargetLatencyMS: 300, Service: service, MaxAttempts: 1},
		},
		Services: []wire.Service{{Name: service, HealthPath: "/health", MaxConnections: 110}},
		Limits:   wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 2000, IdleTimeoutMS: 15000},
		Tenants:  []wire.Tenant{{Name: "visrad", APIKeys: []string{key}}},
	}
}

func play(record *rig.Record) (int, error) {
	bed, err := rig.NewBed(record)
	if err != nil {
		return 0, err
	}
	defer bed.Close()
	bed.Store.PutManifest(manifest())
	for i := range servers {
		noisy := rig.Trouble() && i < faulty
		s, err := rig.NewServer(record, fmt.Sprintf("i-%d", i+1), service, 6, 60*time.Millisecond, func(status int) rig.Answer {
			return rig.Answer{Noise: noisy && status == http.StatusOK && rand.Float64() < noiseShare}
		})
		if err != nil {
			return 0, err
		}
		defer s.Close()
		bed.Register(s)
	}
	if err := bed.StartDaemons(daemons); err != nil {
		return 0, err
	}
	ends := bed.KeepInMemory(memoryMB)
	replies := load(record, bed)
	return judge(record, ends(), replies), nil
}

// load sends requests at an even rate, each to one of the daemons, and returns the replies by id.
func load(record *rig.Record, bed *rig.Bed) map[string]rig.Reply {
	var mu sync.Mutex
	replies := map[string]rig.Reply{}
	var open sync.WaitGroup
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for n := range rate * int(duration/time.Second) {
		<-tick.C
		r := rig.Request{ID: fmt.Sprintf("%016x", n+1), Method: http.MethodPost, Host: host, Path: path, Key: key, Body: "pay", Timeout: timeBudget}
		front := bed.Machines[rand.IntN(len(bed.Machines))].Front()
		open.Go(func() {
			reply := rig.Send(record, front, r)
			mu.Lock()
			defer mu.Unlock()
			replies[r.ID] = reply
		})
	}
	open.Wait()
	return replies
}

// judge checks the rule: two machines or more on which the process has ended three times.
func judge(record *rig.Record, ends map[string]int, replies map[string]rig.Reply) int {
	answered, cut, machines := 0, 0, 0
	for _, reply := range replies {
		switch {
		case reply.Err != nil:
			cut++
		case reply.Status == http.StatusOK:
			answered++
		}
	}
	for _, n := range ends {
		if n >= minEnds {
			machines++
		}
	}
	result := fmt.Sprintf("%d requests, %d answered with 200, %d without an answer; ends of processes over %d MB: %v", len(replies), answered, cut, memoryMB, ends)
	record.Add("%s", result)
	fmt.Println(result)
	switch {
	case answered < len(replies)/4:
		fmt.Println("too few requests were answered for a verdict")
		return rig.NotRun
	case machines >= minMachines:
		return rig.Broken
	}
	return rig.Held
}
