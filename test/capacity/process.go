package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// observationTime is the time over which the cost of idle daemons is measured.
const observationTime = 6 * time.Second

// ticksPerSecond is the number of units of processor time in /proc per second.
const ticksPerSecond = 100

// idleCost is the cost of a cluster without requests.
type idleCost struct {
	// cpuPercent is the mean processor time of a daemon in percent of a core.
	cpuPercent float64
	// residentMB is the mean resident memory of a daemon in MB.
	residentMB float64
	// readsPerSecond and writesPerSecond are the calls of all daemons to the platform.
	readsPerSecond, writesPerSecond float64
}

// measureIdle runs daemons with the default timing and without callers, and returns their cost.
func measureIdle(bin cluster.Binaries, daemons, upstreams int) (idleCost, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return idleCost{}, err
	}
	defer os.RemoveAll(dir)
	c, err := cluster.New(bin, dir)
	if err != nil {
		return idleCost{}, err
	}
	defer c.Close()
	c.Settings.Timing = settings.Defaults().Timing
	for i := range upstreams {
		o := standin.EngineOptions{
			Instance: fmt.Sprintf("engine-%d", i),
			Profiles: map[string]standin.VersionProfile{"notes-large@1": {}}, Serving: []string{"notes-large@1"},
		}
		if _, err := c.StartEngine(o, "a", nil); err != nil {
			return idleCost{}, err
		}
	}
	for i := range daemons {
		if _, err := c.StartDaemon(fmt.Sprintf("domain-%d", i), nil); err != nil {
			return idleCost{}, err
		}
	}
	text, err := os.ReadFile(filepath.Join("examples", "base.jsonc"))
	if err != nil {
		return idleCost{}, err
	}
	err = cluster.Post(c.Daemons[0].OperatorURL+"/v1/config/apply", config.ApplyRequest{ChangeID: "base", Text: string(text)}, nil)
	if err != nil {
		return idleCost{}, err
	}
	if err := c.WaitReady(c.Daemons, upstreams); err != nil {
		return idleCost{}, err
	}
	return observeIdle(c)
}

func observeIdle(c *cluster.Cluster) (idleCost, error) {
	type counts struct {
		Reads  float64 `json:"reads"`
		Writes float64 `json:"writes"`
	}
	var before, after counts
	cpu := 0.0
	if err := cluster.Get("http://"+c.Platform+"/standin/counts", &before); err != nil {
		return idleCost{}, err
	}
	for _, d := range c.Daemons {
		cpu -= cpuSeconds(d.Pid())
	}
	time.Sleep(observationTime)
	out := idleCost{}
	for _, d := range c.Daemons {
		cpu += cpuSeconds(d.Pid())
		out.residentMB += residentMB(d.Pid()) / float64(len(c.Daemons))
	}
	if err := cluster.Get("http://"+c.Platform+"/standin/counts", &after); err != nil {
		return idleCost{}, err
	}
	out.cpuPercent = 100 * cpu / observationTime.Seconds() / float64(len(c.Daemons))
	out.readsPerSecond = (after.Reads - before.Reads) / observationTime.Seconds()
	out.writesPerSecond = (after.Writes - before.Writes) / observationTime.Seconds()
	return out, nil
}

// cpuSeconds returns the processor time that a process has used, in seconds, or 0 if the process
// does not exist.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}

func processSlopes() ([]slope, error) {
	dir, err := os.MkdirTemp("", "capacity-bin")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	bin, err := cluster.Build(dir)
	if err != nil {
		return nil, err
	}
	var failed error
	runs := map[string]idleCost{}
	point := func(daemons, upstreams int) idleCost {
		key := fmt.Sprint(daemons, "/", upstreams)
		if _, done := runs[key]; !done {
			r, err := measureIdle(bin, daemons, upstreams)
			if err != nil {
				failed = err
			}
			runs[key] = r
		}
		return runs[key]
	}
	byDaemons := func(name, unit string, f func(idleCost) float64) slope {
		return measure(name, unit, "daemon", []int{2, 4, 8}, func(n int) float64 { return f(point(n, 4)) })
	}
	byUpstreams := func(name, unit string, f func(idleCost) float64) slope {
		return measure(name, unit, "upstream", []int{4, 16, 32}, func(n int) float64 { return f(point(2, n)) })
	}
	out := []slope{
		byDaemons("idle daemon: processor, by daemons", "% of a core", func(i idleCost) float64 { return i.cpuPercent }),
		byDaemons("idle daemon: resident memory, by daemons", "MB", func(i idleCost) float64 { return i.residentMB }),
		byDaemons("platform reads a second, by daemons", "reads/s", func(i idleCost) float64 { return i.readsPerSecond }),
		byDaemons("platform writes a second, by daemons", "writes/s", func(i idleCost) float64 { return i.writesPerSecond }),
		byUpstreams("idle daemon: processor, by upstreams", "% of a core", func(i idleCost) float64 { return i.cpuPercent }),
		byUpstreams("idle daemon: resident memory, by upstreams", "MB", func(i idleCost) float64 { return i.residentMB }),
	}
	return out, failed
}
