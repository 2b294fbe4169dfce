// Command hornbeamsilld is the routing daemon. It serves callers, routes their requests to
// model servers and plain services, and shares control duties such as roll-outs with the other
// daemons. Settings with a /routes section start the daemon for plain HTTP callers instead.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamsill/hornbeamsill/internal/daemon"
	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
)

// Exit codes. exitCut means that the shutdown cut off running requests.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
	exitCut   = 3
)

type options struct {
	ConfigFile     string `long:"config-file" description:"settings of this daemon, JSON with comments"`
	Dev            bool   `long:"dev" description:"run on embedded stand-ins: a platform, two engines, a plain service"`
	CallerListen   string `long:"caller-listen" description:"address for callers, host:port; port 0 picks one"`
	OperatorListen string `long:"operator-listen" description:"address for operators"`
	PeerListen     string `long:"peer-listen" description:"address for other daemons"`
	LogLevel       string `long:"log-level" description:"debug, info, warn or error"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		if err == nil {
			err = fmt.Errorf("unexpected argument %q", rest[0])
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if o.ConfigFile != "" {
		if f, ok, err := settings.LoadRoutes(o.ConfigFile); ok || err != nil {
			return serveRoutes(o.ConfigFile, f, err, stdout, stderr)
		}
	}
	s, err := load(o)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := telemetry.SetupLogs(stderr, s.LogLevel); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if !o.Dev {
		return serve(s, stderr, func(*daemon.Process) {})
	}
	dev, err := standin.StartDev()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	defer dev.Close()
	s.Platform = dev.PlatformAddress
	return serve(s, stderr, func(p *daemon.Process) { printDev(stdout, p) })
}

// serveRoutes runs the daemon for plain HTTP callers.
func serveRoutes(path string, f settings.RoutesFile, err error, stdout, stderr io.Writer) int {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logs := telemetry.NewLineWriter(stdout)
	defer logs.Close()
	if err := telemetry.SetupLogs(logs, f.LogLevel); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := entry.Run(path, f); err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	return exitOK
}

func load(o options) (settings.Settings, error) {
	s := settings.Defaults()
	switch {
	case o.ConfigFile != "":
		var err error
		if s, err = settings.Load(o.ConfigFile); err != nil {
			return s, err
		}
	case !o.Dev:
		return s, errors.New("either --config-file or --dev is needed")
	default:
		s.Timing.EntriesTTLMS = 1000
		s.PeerListen = "127.0.0.1:0"
		s.LogLevel = "warn"
	}
	override(&s.CallerListen, o.CallerListen)
	override(&s.OperatorListen, o.OperatorListen)
	override(&s.PeerListen, o.PeerListen)
	override(&s.LogLevel, o.LogLevel)
	return s, nil
}

func override(setting *string, flag string) {
	if flag != "" {
		*setting = flag
	}
}

func serve(s settings.Settings, stderr io.Writer, started func(*daemon.Process)) int {
	cut, err := daemon.Run(s, started)
	switch {
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitError
	case cut > 0:
		fmt.Fprintf(stderr, "the stop cut off %d requests\n", cut)
		return exitCut
	default:
		return exitOK
	}
}

func printDev(w io.Writer, p *daemon.Process) {
	fmt.Fprintf(w, `hornbeamsilld runs on stand-ins; stop it with Ctrl-C.
callers:   http://%[1]s
operators: http://%[2]s

curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model":"auto","stream":true,"messages":[{"role":"user","content":"Summarise clause 4."}]}'

hornbeamsill --daemon http://%[2]s ledger list
`, p.CallerAddress(), p.OperatorAddress(), standin.DevKeyRights)
}
