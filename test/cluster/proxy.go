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

// Proxy puts a proxy in front of an address.
func (c *Cluster) Proxy(target string) (*Proxy, error) {
	p, err := NewProxy(target)
	if err != nil {
		return nil, err
	}
	c.proxies = append(c.proxies, p)
	return p, nil
}

// NewProxy puts a proxy that the caller closes in front of an address.
func NewProxy(target string) (*Proxy, error) {
	p := toxiproxy.NewProxy()
	p.Listen, p.Upstream = "127.0.0.1:0", target
	if err := p.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Proxy{proxy: p}, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Close ends the proxy.
func (p *Proxy) Close() { p.proxy.Stop() }

// Cut closes all connections and refuses new ones until Restore.
func (p *Proxy) Cut() { p.proxy.Stop() }

// Restore undoes Cut and removes all other faults.
func (p *Proxy) Restore() error {
	p.proxy.Toxics.ResetToxics()
	return trace.Wrap(p.proxy.Start())
}

// Hold swallows the data of one direction, "upstream" or "downstream", as a
// one-way cut does.
func (p *Proxy) Hold(direction string) error {
	return p.toxic(`{"name":"hold-` + direction + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`)
}

// Slow adds latency to both directions, in milliseconds.
func (p *Proxy) Slow(ms string) error {
	if err := p.toxic(`{"name":"slow-up","type":"latency","stream":"upstream","attributes":{"latency":` + ms + `}}`); err != nil {
		return err
	}
	return p.toxic(`{"name":"slow-down","type":"latency","stream":"downstream","attributes":{"latency":` + ms + `}}`)
}

// Heal removes all faults but Cut.
func (p *Proxy) Heal() { p.proxy.Toxics.ResetToxics() }

func (p *Proxy) toxic(text string) error {
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return trace.Wrap(err)
}
