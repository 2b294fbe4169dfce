package entry

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
)

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = 2 * time.Second

// Run runs a daemon with the settings in f, read from path, until SIGTERM or SIGINT and then
// performs a planned stop. SIGHUP or a change of the file reloads the settings that can change
// at run time. Options can replace parts of Module.
func Run(path string, f settings.RoutesFile, options ...fx.Option) error {
	var node *Node
	app := fx.New(fx.Supply(f), Module, fx.Options(options...), fx.Populate(&node), fx.NopLogger, fx.StopTimeout(settings.Seconds(f.Routes.StopS)))
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Without a handler, SIGHUP would end the process and cut its running requests.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	flush, err := telemetry.SetupTraces(f.Trace, f.Routes.Instance)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := app.Start(context.Background()); err != nil {
		return trace.Wrap(err)
	}
	node.watchSettings(path, f, signals, hangups)
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return trace.NewAggregate(app.Stop(ctx), flush(ctx))
}

// watchSettings reloads the settings until a stop signal arrives.
func (n *Node) watchSettings(path string, f settings.RoutesFile, stop, hangups <-chan os.Signal) {
	for {
		select {
		case <-stop:
			return
		case <-hangups:
			f = n.reload(path, f, "signal")
		case <-n.clock.After(reloadInterval):
			f = n.reload(path, f, "change")
		}
	}
}

// reload reads the settings file and applies the settings that can change at run time. If the
// file is invalid, the settings stay as they are.
func (n *Node) reload(path string, old settings.RoutesFile, why string) settings.RoutesFile {
	f, ok, err := settings.LoadRoutes(path)
	if err == nil && !ok {
		err = trace.BadParameter("%s: /routes: missing", path)
	}
	if err != nil {
		slog.Error("settings.not_reloaded", "why", why, "error", err)
		return old
	}
	if reflect.DeepEqual(f, old) {
		if why == "signal" {
			slog.Info("settings.reloaded", "why", why, "changed", false)
		}
		return old
	}
	n.seeds.Store(&f.Routes.Seeds)
	n.retries.SetPolicy(retryPolicy(f.Routes))
	slog.Info("settings.reloaded", "why", why, "changed", true)
	return f
}

func retryPolicy(r settings.Routes) limit.FleetRetryPolicy {
	return limit.FleetRetryPolicy{Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: settings.Seconds(r.RetryWindowS)}
}
