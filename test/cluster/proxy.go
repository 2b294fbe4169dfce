package cluster

import (
	"io"
	"strings"

	"github.com/Shopify/toxiproxy"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

func init() { logrus.SetOutput(io.Discard) }

// Proxy is a fault-injecting TCP proxy in front of one address.
type Proxy struct {
	proxy *toxiproxy.Proxy
}

// StartProxy starts a proxy in front of an address. Cluster.Close stops it.
func (c *Cluster) StartProxy(target string) (*Proxy, error) {
	p, err := NewProxy(target)
	if err != nil {
		return nil, err
	}
	c.proxies = append(c.proxies, p)
	return p, nil
}

// NewProxy starts a proxy in front of an address. The caller must close it.
func NewProxy(target string) (*Proxy, error) {
	p := toxiproxy.NewProxy()
	p.Listen, p.Upstream = "127.0.0.1:0", target
	if err := p.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Proxy{proxy: p}, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Close stops the proxy.
func (p *Proxy) Close() { p.proxy.Stop() }

// Cut closes all connections and refuses new ones until Restore.
func (p *Proxy) Cut() { p.proxy.Stop() }

// Restore undoes Cut and removes all other faults.
func (p *Proxy) Restore() error {
	p.proxy.Toxics.ResetToxics()
	return trace.Wrap(p.proxy.Start())
}

// Blackhole discards the data of one direction and keeps the connections open, as
// a one-way network failure does. The direction is "upstream", towards the target,
// or "downstream".
func (p *Proxy) Blackhole(direction string) error {
	return p.addToxic(`{"name":"hold-` + direction + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`)
}

// AddLatency adds a latency of ms milliseconds to each direction.
func (p *Proxy) AddLatency(ms string) error {
	if err := p.addToxic(`{"name":"slow-up","type":"latency","stream":"upstream","attributes":{"latency":` + ms + `}}`); err != nil {
		return err
	}
	return p.addToxic(`{"name":"slow-down","type":"latency","stream":"downstream","attributes":{"latency":` + ms + `}}`)
}

// RemoveToxics removes all faults except Cut.
func (p *Proxy) RemoveToxics() { p.proxy.Toxics.ResetToxics() }

// addToxic adds a fault described in toxiproxy's JSON format.
func (p *Proxy) addToxic(text string) error {
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return trace.Wrap(err)
}
