//go:build review

// Command 4 shows that a stream which is resumed at a server that fails the request with a status below
// 500 ends as if it were complete, with the text of the failure in its midst.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/review/rig2"
)

const (
	host    = "shop.example"
	key     = "key-of-office"
	service = "mail-assist"
	// servers is the number of model servers, of which one is faulty: a share of 0.143.
	servers = 7
	// failing is the share of its requests that the faulty server fails, for greyTime after each crash.
	failing  = 0.4
	greyTime = 6500 * time.Millisecond
	// crashes is how often one of the other servers crashes: a share of 0.143. It is back
	// after downTime.
	crashes  = 8
	downTime = 3 * time.Second
	// events is the number of events of a stream, and pause the time between two.
	events = 17
	pause  = 60 * time.Millisecond
	// clients is the number of callers that send one request after the other.
	clients = 64
	// refusal is how the faulty server fails a request.
	refusal = http.StatusConflict
	failure = `{"error":"the request conflicts with another one"}`
)

// engine is a model server.
type engine struct {
	id, zone string
	record   *rig2.Record

	mu    sync.Mutex
	grey  bool
	born  int
	http  *httptest.Server
	ended chan struct{}
}

func (e *engine) start(store *platformtest.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born++
	e.ended = make(chan struct{})
	e.http = httptest.NewServer(e.handler(e.name(), e.ended))
	e.register(store)
}

// name returns the ID of the present lifetime. Each start has a new one.
func (e *engine) name() string { return fmt.Sprintf("%s-%d", e.id, e.born) }

func (e *engine) register(store *platformtest.Store) {
	store.Put(wire.TableInstances, e.name(), wire.Instance{
		Service: service, Address: e.http.Listener.Addr().String(), Zone: e.zone, Version: "v1", Slots: 128, State: wire.StateReady,
	})
}

// crash ends the server, which sends nothing any more. Its row is removed after three heartbeats.
func (e *engine) crash() (row string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.ended)
	_ = e.http.Listener.Close()
	e.http.CloseClientConnections()
	go e.http.Close()
	return e.name()
}

func (e *engine) isGrey() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.grey
}

func (e *engine) setGrey(grey bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grey = grey
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

func whole(id string) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

func (e *engine) handler(name string, ended <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.HeaderRequestID)
		w.Header().Set(wire.HeaderRequestID, id)
		w.Header().Set(wire.HeaderInstance, name)
		if expect := r.Header.Get(wire.HeaderExpectInstance); expect != "" && expect != name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			return
		}
		w.Header().Set(wire.HeaderSeal, "seal-of-"+id)
		last, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
		if e.isGrey() && rand.Float64() < failing {
			e.record.Printf("request %s after event %d: %s fails it with %d", id, last, name, refusal)
			w.WriteHeader(refusal)
			_, _ = io.WriteString(w, failure)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(wire.HeaderConfidence, "99")
		for n := last + 1; n <= events; n++ {
			if _, err := io.WriteString(w, event(id, n)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			case <-ended:
				panic(http.ErrAbortHandler)
			}
		}
		e.record.Printf("request %s after event %d: %s ran it to the end", id, last, name)
	})
}

func main() { rig2.Main(run) }

func run(rig *rig2.Rig, record *rig2.Record, trouble bool) (int, error) {
	rig.Store.PutManifest(wire.Manifest{
		Version: 3,
		Routes: []wire.Route{{
			Name: "thread-digest", Host: host, Prefix: "/digest/", RouteType: wire.KindStream, TimeoutMS: 12000, TargetLatencyMS: 4000, GapTargetMS: 1500,
			Service: service, MaxAttempts: 3, Resumable: true, Sizes: []string{"m0", "m1", "m2"},
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/health", MaxConnections: 620, Engine: &wire.Engine{
			KVCapacity: 262379, Models: []wire.Model{{Name: "m0", Cost: 0.02}, {Name: "m1", Cost: 0.15}, {Name: "m2", Cost: 0.3}},
		}}},
		Limits:  wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []wire.Tenant{{Name: "office", APIKeys: []string{key}}},
	})
	zones := []string{"tbs-hall-a", "tbs-hall-b", "tbs-hall-c"}
	var all []*engine
	for i := range servers {
		e := &engine{id: fmt.Sprintf("i%d", i+1), zone: zones[i%len(zones)], record: record}
		e.start(rig.Store)
		all = append(all, e)
	}
	if err := rig.StartDaemons(4, zones); err != nil {
		return rig2.NotRun, err
	}
	if err := rig.AwaitReady(15 * time.Second); err != nil {
		return rig2.NotRun, err
	}
	var mu sync.Mutex
	broken, sent := 0, 0
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range clients {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				isBroken := ask(rig, record, c, n)
				mu.Lock()
				sent++
				if isBroken {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	for round := range crashes {
		time.Sleep(greyTime - downTime)
		victim := all[1+round%(servers-1)]
		if !trouble {
			time.Sleep(downTime)
			continue
		}
		all[0].setGrey(true)
		row := victim.crash()
		record.Printf("%s crashes; %s fails %.2f of its requests", row, all[0].name(), failing)
		time.AfterFunc(downTime, func() {
			rig.Store.Remove(wire.TableInstances, row)
			victim.start(rig.Store)
		})
		time.Sleep(downTime + 100*time.Millisecond)
		all[0].setGrey(false)
	}
	close(stop)
	callers.Wait()
	record.Printf("%d requests, %d broken", sent, broken)
	fmt.Printf("%d requests, %d broken\n", sent, broken)
	if broken > 0 {
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}

// ask sends a request and reports whether its answer looks complete, with success, and is not the
// server's whole body.
func ask(rig *rig2.Rig, record *rig2.Record, client, n int) bool {
	id := fmt.Sprintf("c%d-%d", client, n)
	call := platformtest.Call{
		Host: host, Path: "/digest/1", ID: id, Key: key, Timeout: 12 * time.Second, Model: "*", Prompt: fmt.Sprintf("aa%d:100,bb:200", client%5),
		Session: id, Body: "body of " + id, ExtraHeaders: http.Header{wire.HeaderTokenUsage: {"300,80"}},
	}
	d := rig.Daemons[rand.IntN(len(rig.Daemons))]
	reply := call.Send(context.Background(), rig.Client, d.Callers)
	isBroken := reply.Err == nil && reply.Status == http.StatusOK && reply.Body != whole(id)
	record.Printf("request %s at %s: answered %d, error %v, %d bytes of %d", id, d.Name, reply.Status, reply.Err, len(reply.Body), len(whole(id)))
	if isBroken {
		record.Printf("request %s: MIXED, ORDER: the answer ends as complete with %q", id, reply.Body[max(len(reply.Body)-120, 0):])
	}
	return isBroken
}
