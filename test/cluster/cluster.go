// Package cluster runs daemons and stand-ins for the platform and upstreams as
// processes, and a fault-injecting proxy between them, for tests of failures.
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

// WaitTimeout bounds every wait for a condition.
const WaitTimeout = 60 * time.Second

// Daemon is a running hornbeamsilld.
type Daemon struct {
	*Process
	Incarnation string
	// CallerURL, OperatorURL and PeerAddress are the daemon's own listeners,
	// without a proxy.
	CallerURL   string
	OperatorURL string
	PeerAddress string
}

// Cluster is a platform stand-in with upstreams and daemons.
type Cluster struct {
	bin      Binaries
	dir      string
	Platform string // address of the platform stand-in
	// Settings are the settings of daemons that StartDaemon starts, unless it changes them.
	Settings settings.Settings

	procs []*Process
	// mu guards Daemons while a test starts daemons under load.
	mu      sync.Mutex
	Daemons []*Daemon
	proxies []*Proxy
}

// New starts a platform stand-in. The daemons' settings files are written to dir.
func New(bin Binaries, dir string, platformArgs ...string) (*Cluster, error) {
	c := &Cluster{bin: bin, dir: dir, Settings: FastSettings()}
	address, _, err := c.StartStandin("platform", append([]string{"platform"}, platformArgs...)...)
	c.Platform = address
	return c, err
}

// FastSettings returns settings with short intervals and timeouts.
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

// Close kills all processes and stops all proxies.
func (c *Cluster) Close() {
	for _, p := range c.procs {
		p.Kill()
	}
	for _, p := range c.proxies {
		p.Close()
	}
}

// StartStandin starts a stand-in and returns its address and process.
func (c *Cluster) StartStandin(name string, args ...string) (string, *Process, error) {
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

// Upstream is a running stand-in for an engine or a service.
type Upstream struct {
	*Process
	ID string
	// Address is the upstream's own address, without a proxy.
	Address string
}

// StartEngine starts an engine and adds it to the platform's list of instances.
// via, if not nil, returns the address to list, such as that of a proxy.
func (c *Cluster) StartEngine(o standin.EngineOptions, domain string, via func(address string) string) (*Upstream, error) {
	o.Platform = c.Platform
	data, err := json.Marshal(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return c.startUpstream(backing.Instance{ID: o.Instance, Role: backing.RoleEngine, FailureDomain: domain}, via, "engine", "--options", string(data))
}

// StartService starts a plain service and adds it to the platform's list. via is as
// for StartEngine.
func (c *Cluster) StartService(id, name, domain string, via func(string) string) (*Upstream, error) {
	return c.startUpstream(backing.Instance{ID: id, Role: backing.RoleService, Service: name, FailureDomain: domain}, via, "service", "--name", name)
}

func (c *Cluster) startUpstream(i backing.Instance, via func(string) string, args ...string) (*Upstream, error) {
	address, p, err := c.StartStandin(i.ID, args...)
	if err != nil {
		return nil, err
	}
	i.Address, i.State = address, backing.StateLive
	if via != nil {
		i.Address = via(address)
	}
	return &Upstream{Process: p, ID: i.ID, Address: address}, c.AddInstance(i)
}

// AddInstance adds an instance to the platform's list, or replaces its entry.
func (c *Cluster) AddInstance(i backing.Instance) error {
	return Post("http://"+c.Platform+"/standin/instances", i, nil)
}

// StartDaemon starts a daemon in a failure domain, with all daemons started
// earlier as its peers. change, if not nil, may alter the settings.
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
	scheme := "http://"
	if s.TLS.Enabled() {
		scheme = "https://"
	}
	d := &Daemon{}
	p, err := start("daemon", c.bin.Path("hornbeamsilld"), []string{"--config-file", file}, func(line string) bool {
		if !strings.Contains(line, "msg=daemon.started") {
			return false
		}
		d.Incarnation = logField(line, "incarnation")
		d.CallerURL = scheme + logField(line, "caller")
		d.OperatorURL = scheme + logField(line, "operator")
		d.PeerAddress = logField(line, "peer")
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

// FreeAddress returns a loopback address that is free at the time of the call,
// for a listener whose address must be known before it listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartedDaemons returns a copy of Daemons. Code that runs while daemons are
// started must use it instead of Daemons.
func (c *Cluster) StartedDaemons() []*Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Daemons)
}

// Status gets the daemon's status from its operators' API.
func (d *Daemon) Status() (operator.Status, error) {
	var s operator.Status
	err := Get(d.OperatorURL+"/v1/status", &s)
	return s, err
}

// WaitOption changes what WaitReady waits for.
type WaitOption int

// AllowOtherDaemons allows the daemons to see more live daemons than those given to
// WaitReady.
const AllowOtherDaemons WaitOption = 1

// WaitReady waits until each of the daemons is ready, sees as many live
// daemons with a URL for callers as there are in daemons, and knows at least the
// given number of upstreams. Engines count once their versions are known.
func (c *Cluster) WaitReady(daemons []*Daemon, upstreams int, options ...WaitOption) error {
	allowOthers := len(options) > 0 && options[0] == AllowOtherDaemons
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
			enough := alive == len(daemons) || (allowOthers && alive > len(daemons))
			if !s.Ready || !enough || ready < upstreams {
				return trace.Errorf("%s: ready=%v alive=%d/%d upstreams=%d/%d", d.Incarnation, s.Ready, alive, len(daemons), ready, upstreams)
			}
		}
		return nil
	})
}

// Eventually calls f every 10 ms until it returns nil. After WaitTimeout it
// returns the last error.
func Eventually(f func() error) error {
	deadline := time.Now().Add(WaitTimeout)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.Wrap(err, "condition not met within %v", WaitTimeout)
		}
		<-ticker.C
	}
}

var httpClient = &http.Client{Timeout: WaitTimeout}

// Get fetches JSON and decodes it into out.
func Get(url string, out any) error { return roundTrip(http.MethodGet, url, nil, out) }

// Post sends in as JSON and decodes the answer into out, unless out is nil.
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
