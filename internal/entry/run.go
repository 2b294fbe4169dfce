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

// reloadInterval is how often the settings file is looked at without a signal.
const reloadInterval = 2 * time.Second

// Run runs a daemon with the settings in a file until SIGTERM or SIGINT and
// stops it as planned. SIGHUP, or a change of the file, reloads what can change
// in a running daemon.
func Run(path string, f settings.RoutesFile) error {
	var node *Node
	app := fx.New(fx.Supply(f), Module, fx.Populate(&node), fx.NopLogger, fx.StopTimeout(settings.Seconds(f.Routes.StopS)))
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Without a handler a SIGHUP ends the process and cuts what it serves.
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

// followSettings reloads the settings until a signal to stop.
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

// reload reads the settings file and puts in force what can change while the
// daemon runs. A file that cannot be used leaves the settings as they are.
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
