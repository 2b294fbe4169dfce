package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/daemon"
	"github.com/hornbeamsill/hornbeamsill/internal/ident"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// countingProxy forwards TCP connections and counts their bytes in both directions.
type countingProxy struct {
	listener net.Listener
	bytes    atomic.Int64
}

func newCountingProxy(target string) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countingProxy{listener: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				return
			}
			go c.pipe(in, out)
			go c.pipe(out, in)
		}
	}()
	return c, nil
}

func (c *countingProxy) pipe(to io.WriteCloser, from io.Reader) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.bytes.Add(int64(n))
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}

// bytesPerCall returns the mean number of bytes of n calls. It first makes one uncounted call,
// which opens the connection.
func (c *countingProxy) bytesPerCall(n int, call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	for range n {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load()-before) / float64(n), nil
}

// countedPeer is a daemon that serves peer calls, with a client that reaches it through a
// counting proxy.
type countedPeer struct {
	node   *daemon.Node
	client *peer.Client
	proxy  *countingProxy
}

func newCountedPeer() (*countedPeer, error) {
	s := settings.Defaults()
	node := daemon.NewNode(s, backing.NewMemory(), clock)
	server, err := peer.Listen("127.0.0.1:0", nil, node, peer.Limits{})
	if err != nil {
		return nil, err
	}
	c, err := newCountingProxy(server.Address())
	if err != nil {
		return nil, err
	}
	return &countedPeer{node: node, client: peer.NewClient(nil), proxy: c}, nil
}

func (p *countedPeer) address() string { return p.proxy.listener.Addr().String() }

// bytesBySize measures the bytes of a peer call for each size. prepare returns the call for
// size n.
func bytesBySize(name, per string, sizes []int, prepare func(p *countedPeer, n int) func() error) (slope, error) {
	var failed error
	s := measure(name, "B", per, sizes, func(n int) float64 {
		p, err := newCountedPeer()
		if err != nil {
			failed = err
			return 0
		}
		b, err := p.proxy.bytesPerCall(20, prepare(p, n))
		if err != nil {
			failed = err
		}
		return b
	})
	return s, failed
}

func byteSlopes() ([]slope, error) {
	ctx := context.Background()
	incarnation := ident.NewIncarnation()
	kinds := []struct {
		name, per string
		sizes     []int
		prepare   func(p *countedPeer, n int) func() error
	}{
		{"heartbeat, both ways, with n pieces of news each way", "piece of news", []int{0, 4, 16}, func(p *countedPeer, n int) func() error {
			h := p.node.Heartbeat()
			h.News = nil
			for i := range n {
				h.News = append(h.News, daemonEntry(i))
			}
			return func() error {
				// The peer sends the updates that it merges on to others, so its reply
				// contains them too.
				_, err := p.client.Heartbeat(ctx, p.address(), h)
				return err
			}
		}},
		{"whole table of daemons", "daemon", []int{100, 400, 1300}, func(p *countedPeer, n int) func() error {
			for i := range n {
				p.node.Registry().Merge([]member.Daemon{daemonEntry(i)})
			}
			return func() error { _, err := p.client.Members(ctx, p.address()); return err }
		}},
		{"copies of bills to one holder", "bill", []int{1, 16, 128}, func(p *countedPeer, n int) func() error {
			var bills []ledger.Bill
			for i := range n {
				bills = append(bills, billOf(incarnation, i, ledger.Open))
			}
			return func() error {
				return p.client.HoldBills(ctx, p.address(), peer.HoldRequest{Owner: incarnation, Bills: bills})
			}
		}},
		{"demand of organisations", "organisation", []int{1, 10, 100}, func(p *countedPeer, n int) func() error {
			var d []limit.Demand
			for i := range n {
				d = append(d, limit.Demand{Organisation: fmt.Sprintf("org-%d", i), Used: 0.123456789})
			}
			return func() error {
				_, err := p.client.ReportDemand(ctx, p.address(), peer.DemandRequest{From: incarnation, Demands: d})
				return err
			}
		}},
		{"rating summary", "version and kind", []int{10, 40, 120}, func(p *countedPeer, n int) func() error {
			var ratings []backing.Rating
			for i := range n {
				ratings = append(ratings, backing.Rating{Seq: int64(i + 1), Model: fmt.Sprintf("model-%d", i%19), Version: "1", Kind: fmt.Sprintf("kind-%d", i/19), Good: true})
			}
			p.node.AddRatings(ratings)
			return func() error { _, err := p.client.Ratings(ctx, p.address()); return err }
		}},
	}
	var out []slope
	for _, k := range kinds {
		s, err := bytesBySize(k.name, k.per, k.sizes, k.prepare)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", k.name, err)
		}
		out = append(out, s)
	}
	rows := []slope{
		measure("row of committed bills", "B", "bill", []int{10, 100, 500}, func(n int) float64 {
			var bills []ledger.Bill
			for i := range n {
				bills = append(bills, billOf(incarnation, i, ledger.Answered))
			}
			return float64(ledger.RowSize(bills))
		}),
		measure("delta of one changed overlay", "B", "organisation overridden", []int{1, 10, 100}, overlayDelta),
	}
	report, err := reportSlope()
	return append(append(out, rows...), report), err
}

// overlayDelta returns the bytes that a daemon fetches after its site's overlay has changed, if
// the overlay overrides n organisations.
func overlayDelta(n int) float64 {
	text := `{"organisations":{`
	for i := range n {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`"org-%d":{"limits":{"requests_per_second":%d}}`, i, i)
	}
	data, _ := json.Marshal(config.StoredDocument{Revision: 1, Generation: 1, Text: text + "}}", ChangeID: "x", At: time.Now()})
	return float64(len(data))
}

// reportSlope measures the bytes of a load report, fetched over HTTP, by the number of versions
// that the engine serves.
func reportSlope() (slope, error) {
	var failed error
	s := measure("load report over HTTP", "B", "version served", []int{1, 4, 16}, func(n int) float64 {
		o := standin.EngineOptions{Instance: "engine-1", Profiles: map[string]standin.VersionProfile{}}
		for i := range n {
			v := fmt.Sprintf("model-%d@1", i)
			o.Profiles[v] = standin.VersionProfile{}
			o.Serving = append(o.Serving, v)
		}
		engine := standin.NewEngine(o)
		defer engine.Close()
		server, err := standin.Serve("127.0.0.1:0", engine.Handler())
		if err != nil {
			failed = err
			return 0
		}
		defer server.Close()
		c, err := newCountingProxy(server.Address())
		if err != nil {
			failed = err
			return 0
		}
		client := upstream.NewClient(time.Second)
		b, err := c.bytesPerCall(20, func() error {
			_, err := client.LoadReport(context.Background(), c.listener.Addr().String())
			return err
		})
		if err != nil {
			failed = err
		}
		return b
	})
	return s, failed
}
