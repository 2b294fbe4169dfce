// Command hornbeamsill-standin runs a stand-in for one external system as a separate process
// for tests: the platform, a model engine or a plain service. It prints "address=HOST:PORT"
// once it listens, and stops on SIGTERM or SIGINT.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
)

type options struct {
	Listen   string `long:"listen" default:"127.0.0.1:0" description:"address, host:port"`
	Platform struct {
		ListLag          time.Duration `long:"list-lag" description:"age of the instance list"`
		WeightsPerSecond float64       `long:"weights-per-second" description:"rate of the weight store; 0 is no limit"`
	} `command:"platform" description:"the platform's services"`
	Engine struct {
		Options string `long:"options" required:"true" description:"engine options as JSON"`
	} `command:"engine" description:"a model engine"`
	Service struct {
		Name string `long:"name" required:"true" description:"name of the service"`
	} `command:"service" description:"a plain service"`
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string, stdout io.Writer) error {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		return err
	}
	handler, err := build(o, parser.Active.Name)
	if err != nil {
		return err
	}
	server, err := standin.Serve(o.Listen, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(stdout, "address=%s\n", server.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func build(o options, name string) (http.Handler, error) {
	switch name {
	case "platform":
		return standin.NewPlatform(backing.NewMemory(), standin.PlatformOptions{
			ListLag: o.Platform.ListLag, WeightsPerSecond: o.Platform.WeightsPerSecond,
		}).Handler(), nil
	case "engine":
		var engine standin.EngineOptions
		if err := json.Unmarshal([]byte(o.Engine.Options), &engine); err != nil {
			return nil, fmt.Errorf("--options: %w", err)
		}
		if engine.Platform != "" {
			engine.OnRating = standin.RatingPoster(engine.Platform)
		}
		return standin.NewEngine(engine).Handler(), nil
	case "service":
		return standin.NewService(o.Service.Name).Handler(), nil
	default:
		return nil, errors.New("unknown stand-in " + name)
	}
}
