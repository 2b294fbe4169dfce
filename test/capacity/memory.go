package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// heapGrowth returns the growth of the live heap, in bytes, by the value that build returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// microsecondsPerCall returns the mean duration of n calls of f in microseconds.
func microsecondsPerCall(n int, f func()) float64 {
	began := time.Now()
	for range n {
		f()
	}
	return float64(time.Since(began).Nanoseconds()) / 1000 / float64(n)
}

var clock = clockwork.NewRealClock()

func daemonEntry(i int) member.Daemon {
	return member.Daemon{
		Incarnation: ident.NewIncarnation(), PeerAddress: fmt.Sprintf("10.0.%d.%d:8482", i/250, i%250),
		CallerURL: fmt.Sprintf("http://10.0.%d.%d:8480", i/250, i%250), FailureDomain: fmt.Sprintf("domain-%d", i%14), Site: "site-1",
	}
}

func registryOf(n int) *member.Registry {
	r := member.NewRegistry(daemonEntry(0), clock, member.Options{
		RingTargets: 2, RandomTargets: 2, MaxUpdates: 16, RetransmitFactor: 3, ForgetAfter: time.Hour,
	}, rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		r.Merge([]member.Daemon{daemonEntry(i + 1)})
	}
	return r
}

func upstreamsOf(n int) *member.Upstreams {
	u := member.NewUpstreams(clock, func() config.UpstreamPolicy { return config.UpstreamPolicy{} })
	var list []backing.Instance
	for i := range n {
		list = append(list, backing.Instance{ID: fmt.Sprintf("engine-%d", i), Role: backing.RoleEngine, Address: "10.0.0.1:1", State: backing.StateLive})
	}
	u.SetList(list)
	report := upstream.LoadReport{Slots: 16}
	for v := range 4 {
		report.Versions = append(report.Versions, upstream.VersionLoad{Model: fmt.Sprintf("model-%d", v), Version: "1", Ready: true})
	}
	for _, i := range list {
		u.SetReport(i.ID, report, time.Now())
	}
	return u
}

// documentOf returns a base document with n organisations and 19 versions.
func documentOf(n int) string {
	var b strings.Builder
	b.WriteString(`{"organisations":{`)
	for i := range n {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `"org-%d":{"key_digests":["%s"],"models":["m0","m1","m2"],"limits":{"requests_per_second":100,"in_flight":50}}`,
			i, config.KeyDigest(fmt.Sprint(i)))
	}
	b.WriteString(`},"models":{`)
	for i := range 19 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `"m%d":{"versions":{"1":{"state":"serving","input_price":1,"output_price":2}}}`, i)
	}
	b.WriteString(`},"kinds":{"default":{"quality_target":0.8,"idempotent":true,"deadline_ms":1000}}}`)
	return b.String()
}

func snapshotOf(text string) *config.Snapshot {
	doc, err := config.Merge([]byte(text), nil)
	if err != nil {
		panic(err)
	}
	return config.NewSnapshot(1, doc, nil)
}

// answerTokens is the number of tokens in an answer: 19 million tokens per 87,000 requests.
const answerTokens = 218

func answersOf(n int, ended bool) []*answer.Answer {
	out := make([]*answer.Answer, n)
	for i := range out {
		out[i] = answer.New(fmt.Sprint(i), "o", time.Now())
		for t := range answerTokens {
			out[i].Append(answer.Event{Delta: fmt.Sprint("w", t, " ")}, time.Now())
		}
		if ended {
			out[i].Append(answer.Event{FinishReason: "stop"}, time.Now())
		}
	}
	return out
}

func billOf(incarnation string, i int, state ledger.State) ledger.Bill {
	ref := config.VersionRef{Model: "notes-large", Version: "1"}
	b := ledger.Bill{
		RequestID: fmt.Sprintf("%s-%d", incarnation, i), Organisation: "visrad", Site: "gothenburg", Kind: "clearance", State: state,
		Version: ref, Upstream: "10.0.0.1:8000", Attempt: strings.Repeat("A", 26), InputPrice: 12, OutputPrice: 48, Opened: time.Now(),
	}
	if state != ledger.Open {
		b.AddStep(ledger.Step{Version: ref, PromptTokens: 500, CompletionTokens: answerTokens, Amount: 12 * 500})
		b.Closed = time.Now()
	}
	return b
}

func memorySlopes() []slope {
	incarnation := ident.NewIncarnation()
	return []slope{
		measure("daemons known: memory", "B", "daemon", []int{100, 400, 1300}, func(n int) float64 {
			return heapGrowth(func() any { return registryOf(n) })
		}),
		measure("daemons known: choosing heartbeat targets", "us", "daemon", []int{100, 400, 1300}, func(n int) float64 {
			r := registryOf(n)
			return microsecondsPerCall(200, func() { r.HeartbeatTargets() })
		}),
		measure("daemons known: duty check", "us", "daemon", []int{100, 400, 1300}, func(n int) float64 {
			r := registryOf(n)
			return microsecondsPerCall(200, func() { r.RanksFirst("x") })
		}),
		measure("upstreams seen: memory", "B", "upstream", []int{16, 64, 256}, func(n int) float64 {
			return heapGrowth(func() any { return upstreamsOf(n) })
		}),
		measure("upstreams seen: choosing one", "us", "upstream", []int{16, 64, 256}, func(n int) float64 {
			u := upstreamsOf(n)
			random := rand.New(rand.NewPCG(1, 1))
			return microsecondsPerCall(500, func() {
				var loads []route.UpstreamLoad
				for _, x := range u.Usable(backing.RoleEngine) {
					loads = append(loads, route.UpstreamLoad{ID: x.Instance.ID, Slots: 16})
				}
				route.PickUpstream(loads, 7, 1.25, 1.5, random)
			})
		}),
		measure("organisations: memory of the configuration", "B", "organisation", []int{10, 100, 1000}, func(n int) float64 {
			text := documentOf(n)
			return heapGrowth(func() any { return snapshotOf(text) })
		}),
		measure("organisations: bringing a base into force", "us", "organisation", []int{10, 100, 1000}, func(n int) float64 {
			text := documentOf(n)
			return microsecondsPerCall(20, func() { snapshotOf(text) })
		}),
		measure("organisations: size of the base", "B", "organisation", []int{10, 100, 1000}, func(n int) float64 {
			return float64(len(documentOf(n)))
		}),
		measure("open answers: memory (218 tokens)", "B", "answer", []int{100, 1000, 4000}, func(n int) float64 {
			return heapGrowth(func() any { return answersOf(n, false) })
		}),
		measure("kept answers: memory (218 tokens)", "B", "answer", []int{100, 1000, 4000}, func(n int) float64 {
			return heapGrowth(func() any { return answersOf(n, true) })
		}),
		measure("bills held for peers: memory", "B", "bill", []int{1000, 4000, 16000}, func(n int) float64 {
			return heapGrowth(func() any {
				h := ledger.NewReplicaStore("h", nil, nil, clock)
				for i := range n {
					h.Add(incarnation, 0, []ledger.Bill{billOf(incarnation, i, ledger.Open)})
				}
				return h
			})
		}),
		measure("idempotency keys: memory", "B", "key", []int{1000, 10000, 50000}, func(n int) float64 {
			return heapGrowth(func() any {
				t := claim.NewTable(incarnation, clock, 0)
				home := claim.Home{Incarnation: incarnation, Issued: time.Now()}
				for i := range n {
					key := claim.Key{Organisation: "visrad", Value: fmt.Sprintf("%s-t0abcd.key-%d", incarnation, i)}
					t.Begin(key, home, strings.Repeat("d", 64), fmt.Sprintf("%s-%d", incarnation, i))
				}
				return t
			})
		}),
	}
}
