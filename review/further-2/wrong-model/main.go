//go:build review

// Command wrong-model shows that one caller takes all model servers out of use for good, with requests for
// a model that they don't know. It is no case, since callers send * as the model.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
	"github.com/hornbeamsill/hornbeamsill/review/rig2"
)

const (
	host    = "shop.example"
	key     = "key-of-office"
	service = "mail-assist"
	model   = "m0"
	servers = 7
	wrong   = 20
)

// serve answers as a sound model server: 421 to a request for another server, or for another model.
func serve(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderInstance, id)
		expect := r.Header.Get(wire.HeaderExpectInstance)
		if expect != "" && expect != id || r.Method == http.MethodPost && r.Header.Get(wire.HeaderModel) != model {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(wire.HeaderSeal, "seal")
		_, _ = io.WriteString(w, "id: 1\ndata: piece\n\n")
	})
}

func main() { rig2.Main(run) }

func run(rig *rig2.Rig, record *rig2.Record, trouble bool) (int, error) {
	rig.Store.PutManifest(wire.Manifest{
		Version: 3,
		Routes: []wire.Route{{
			Name: "thread-digest", Host: host, Prefix: "/digest/", RouteType: wire.KindStream, TimeoutMS: 12000, TargetLatencyMS: 4000, GapTargetMS: 1500,
			Service: service, MaxAttempts: 3, Resumable: true, Sizes: []string{model},
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/health", MaxConnections: 620, Engine: &wire.Engine{Models: []wire.Model{{Name: model, Cost: 1}}}}},
		Limits:   wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []wire.Tenant{{Name: "office", APIKeys: []string{key}}},
	})
	for i := range servers {
		id := fmt.Sprintf("i-%d", i+1)
		s := httptest.NewServer(serve(id))
		defer s.Close()
		rig.Store.Put(wire.TableInstances, id, wire.Instance{Service: service, Address: s.Listener.Addr().String(), Zone: "tbs-hall-a", Version: "v1", Slots: 128, State: wire.StateReady})
	}
	if err := rig.StartDaemons(4, []string{"tbs-hall-a", "tbs-hall-b"}); err != nil {
		return rig2.NotRun, err
	}
	if err := rig.AwaitReady(15 * time.Second); err != nil {
		return rig2.NotRun, err
	}
	send := func(kind, model string, n int) (statuses map[int]int) {
		statuses = map[int]int{}
		for i := range n {
			call := platformtest.Call{Host: host, Path: "/digest/1", ID: fmt.Sprintf("%s-%d", kind, i), Key: key, Timeout: 12 * time.Second, Model: model, Body: "body"}
			statuses[call.Send(context.Background(), rig.Client, rig.Daemons[rand.IntN(len(rig.Daemons))].Callers).Status]++
		}
		record.Printf("%d requests %s for %q: answers %v", n, kind, model, statuses)
		return statuses
	}
	send("before", "*", 10)
	if trouble {
		send("wrong", "unknown", wrong)
	}
	time.Sleep(10 * time.Second)
	after := send("after", "*", 10)
	fmt.Println("answers after 10 s:", after)
	if after[http.StatusOK] == 0 {
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}
