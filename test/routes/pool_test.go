package routes_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// restartTime is how long an ended server takes to be back.
const restartTime = 300 * time.Millisecond

// pool is a set of upstream servers that start again as new instances when they end.
//
// Lock order: mu is taken before the locks of servers.
type pool struct {
	*testbed
	service string
	events  int

	mu    sync.Mutex
	next  int
	live  []*platformtest.Server
	ended int
	// ending has the servers that are about to end: callers may know of it before they
	// are counted.
	crashing map[string]bool
	wg       sync.WaitGroup
}

// newPool starts size servers.
func (s *testbed) newPool(service string, events, size int) *pool {
	p := &pool{testbed: s, service: service, events: events, crashing: map[string]bool{}}
	for range size {
		p.startOne()
	}
	s.t.Cleanup(p.close)
	return p
}

func (p *pool) startOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := fmt.Sprint(p.service, "-", p.next)
	var server *platformtest.Server
	server = platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: p.service, Version: "v1", Slots: 8, Work: 20 * time.Millisecond, Events: p.events,
		Confidence: map[string]int{"small": 90},
		Behave: func(seen platformtest.Seen) platformtest.Behaviour {
			if seen.Header.Get("X-Poison") != "" {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.crashing[id] = true
				return platformtest.Crash
			}
			return platformtest.Answer
		},
		Crashed: func() { p.replace(id, server) },
	})
	server.Register(p.store, wire.StateReady)
	p.live = append(p.live, server)
}

// replace takes an ended server off the list and starts another one.
func (p *pool) replace(id string, server *platformtest.Server) {
	p.mu.Lock()
	p.ended++
	delete(p.crashing, id)
	for i, s := range p.live {
		if s == server {
			p.live = append(p.live[:i:i], p.live[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	<-time.After(restartTime)
	p.store.Remove(wire.TableInstances, id)
	p.startOne()
}

// losePower ends n servers at the same moment. They come back like crashed ones.
func (p *pool) killServers(n int) {
	p.mu.Lock()
	var lost []*platformtest.Server
	lost = append(lost, p.live[:n]...)
	p.mu.Unlock()
	for _, server := range lost {
		p.wg.Go(server.Lose)
	}
}

func (p *pool) close() {
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.live {
		server.Close()
	}
}

// endedServers is how many servers have ended so far.
func (p *pool) endedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// whole waits until all servers are back.
func (p *pool) waitRestored(size int) {
	p.t.Helper()
	p.eventually(func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.live) != size || len(p.crashing) > 0 {
			return trace.Errorf("%d of %d servers run", len(p.live), size)
		}
		return nil
	})
}

// condemned has a request crash servers until it is refused, and returns how many ended.
func (p *pool) crashUntilRefused(size int, through *daemon) int {
	p.t.Helper()
	p.eventually(func() error {
		reply := p.send(p.poisonCall(pathStream), through)
		p.waitRestored(size)
		if !strings.Contains(reply.Body, "request_quarantined") {
			return trace.Errorf("the request is not refused: %d %s", reply.Status, reply.Body)
		}
		return nil
	})
	return p.endedServers()
}
