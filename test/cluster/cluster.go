// Package cluster runs real daemons and stand-ins as processes behind a
// fault-injecting proxy, for the tests of failures.
package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/operator"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
)

// Patience bounds every wait for a condition.
const Patience = 60 * time.Second

// Daemon is a running hornbeamsilld.
type Daemon struct {
	*Process
	Incarnation string
	// CallerURL, OperatorURL and PeerAddress are where it listens itself.
	CallerURL   string
	OperatorURL string
	PeerAddress string
}

// Cluster is a platform, upstreams and daemons.
type Cluster struct {
	bin      Binaries
	dir      string
	Platform string // address
	Settings settings.Settings

	procs   []*Process
	mu      sync.Mutex
	Daemons []*Daemon
	proxies []*Proxy
}

// New starts a platform. dir takes settings files.
func New(bin Binaries, dir string, platformArgs ...string) (*Cluster, error) {
	c := &Cluster{bin: bin, dir: dir, Settings: FastSettings()}
	address, _, err := c.Standin("platform", append([]string{"platform"}, platformArgs...)...)
	c.Platform = address
	return c, err
}

// FastSettings are settings with short times.
func FastSettings() settings.Settings {
	s := settings.Defaults()
	s.Site = "gothenburg"
	s.CallerListen, s.OperatorListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Timing.HeartbeatMS = 100
	s.Timing.SealAfterMS = 1000
	s.Timing.ConfigMS = 200
	s.Timing.FreshMS = 1500
	s.Timing.RefuseMS = 4000
	s.Timing.ListMS = 100
	s.Timing.ReportMS = 100
	s.Timing.RatingMS = 100
	s.Timing.RolloutMS = 200
	s.Timing.LeaseMS = 1500
	s.Timing.CommitMS = 100
	s.Timing.HoldMS = 300
	s.Timing.EntriesTTLMS = 1000
	s.Timing.AbandonMS = 2000
	s.Timing.StopMS = 30_000
	return s
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, p := range c.procs {
		p.Kill()
	}
	for _, p := range c.proxies {
		p.Close()
	}
}

// Standin starts a stand-in and returns its address.
func (c *Cluster) Standin(name string, args ...string) (string, *Process, error) {
	address := ""
	p, err := start(name, c.bin.Path("hornbeamsill-standin"), args, func(line string) bool {
		address = strings.TrimPrefix(line, "address=")
		return address != line
	})
	if err != nil {
		return "", nil, err
	}
	c.procs = append(c.procs, p)
	return address, p, nil
}

// Upstream is a running engine or service.
type Upstream struct {
	*Process
	ID string
	// Address is where it listens itself.
	Address string
}

// Engine starts an engine and lists it at the platform. via, when set, is the
// address given to the platform, such as a proxy's.
func (c *Cluster) Engine(o standin.EngineOptions, domain string, via func(address string) string) (*Upstream, error) {
	o.Platform = c.Platform
	data, err := json.Marshal(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return c.upstream(backing.Instance{ID: o.Instance, Role: backing.RoleEngine, FailureDomain: domain}, via, "engine", "--options", string(data))
}

// Service starts a plain service and lists it.
func (c *Cluster) Service(id, name, domain string, via func(string) string) (*Upstream, error) {
	return c.upstream(backing.Instance{ID: id, Role: backing.RoleService, Service: name, FailureDomain: domain}, via, "service", "--name", name)
}

func (c *Cluster) upstream(i backing.Instance, via func(string) string, args ...string) (*Upstream, error) {
	address, p, err := c.Standin(i.ID, args...)
	if err != nil {
		return nil, err
	}
	i.Address, i.State = address, backing.StateLive
	if via != nil {
		i.Address = via(address)
	}
	return &Upstream{Process: p, ID: i.ID, Address: address}, c.List(i)
}

// List puts an instance on the platform's list.
func (c *Cluster) List(i backing.Instance) error {
	return Post("http://"+c.Platform+"/standin/instances", i, nil)
}

// StartDaemon starts a daemon in a failure domain. change may alter its
// settings.
func (c *Cluster) StartDaemon(domain string, change func(*settings.Settings)) (*Daemon, error) {
	s := c.Settings
	s.FailureDomain = domain
	s.Platform = c.Platform
	for _, d := range c.Daemons {
		s.Peers = append(s.Peers, d.PeerAddress)
	}
	if change != nil {
		change(&s)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	file := filepath.Join(c.dir, fmt.Sprintf("daemon-%d.json", len(c.procs)))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{}
	p, err := start("daemon", c.bin.Path("hornbeamsilld"), []string{"--config-file", file}, func(line string) bool {
		if !strings.Contains(line, "msg=daemon.started") {
			return false
		}
		d.Incarnation = field(line, "incarnation")
		d.CallerURL = "http://" + field(line, "caller")
		d.OperatorURL = "http://" + field(line, "operator")
		d.PeerAddress = field(line, "peer")
		return true
	})
	if err != nil {
		return nil, err
	}
	d.Process = p
	c.procs = append(c.procs, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Daemons = append(c.Daemons, d)
	return d, nil
}

// FreeAddress returns a loopback address that was free a moment ago, for a
// listener that has to be known before it listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Started returns the daemons started so far. Load that runs while daemons are
// started uses it in place of Daemons.
func (c *Cluster) Started() []*Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Daemons)
}

// Status asks a daemon for its status.
func (d *Daemon) Status() (operator.Status, error) {
	var s operator.Status
	err := Get(d.OperatorURL+"/v1/status", &s)
	return s, err
}

// SettleOption changes what Settle waits for.
type SettleOption int

// IgnoreOthers lets daemons see further ones beside those named.
const IgnoreOthers SettleOption = 1

// Settle waits until all daemons are ready, offer each other to callers, and see
// the upstreams with their versions.
func (c *Cluster) Settle(daemons []*Daemon, upstreams int, options ...SettleOption) error {
	others := len(options) > 0 && options[0] == IgnoreOthers
	return Eventually(func() error {
		for _, d := range daemons {
			s, err := d.Status()
			if err != nil {
				return err
			}
			alive := 0
			for _, other := range s.Daemons {
				if other.State == "alive" && other.CallerURL != "" {
					alive++
				}
			}
			ready := 0
			for _, u := range s.Upstreams {
				if u.Role != string(backing.RoleEngine) || len(u.Versions) > 0 {
					ready++
				}
			}
			enough := alive == len(daemons) || (others && alive > len(daemons))
			if !s.Ready || !enough || ready < upstreams {
				return trace.Errorf("%s: ready=%v alive=%d/%d upstreams=%d/%d", d.Incarnation, s.Ready, alive, len(daemons), ready, upstreams)
			}
		}
		return nil
	})
}

// Eventually repeats f until it returns nil, at most for Patience.
func Eventually(f func() error) error {
	deadline := time.Now().Add(Patience)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.Wrap(err, "not within %v", Patience)
		}
		<-ticker.C
	}
}

var httpClient = &http.Client{Timeout: Patience}

// Get fetches JSON.
func Get(url string, out any) error { return roundTrip(http.MethodGet, url, nil, out) }

// Post sends JSON. out may be nil.
func Post(url string, in, out any) error { return roundTrip(http.MethodPost, url, in, out) }

func roundTrip(method, url string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode >= 300 {
		return trace.Errorf("%s %s: %d %s", method, url, resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(body, out))
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
