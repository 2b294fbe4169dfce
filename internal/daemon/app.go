package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// stopMargin is added to the configured time limit of a stop. In it the daemon
// closes listeners and connections after the requests have ended.
const stopMargin = 30 * time.Second

// NewApp returns the fx app of a daemon, and its process.
func NewApp(s settings.Settings) (*fx.App, *Process) {
	var process *Process
	app := fx.New(
		fx.Supply(s),
		Module,
		fx.Populate(&process),
		fx.NopLogger,
		fx.StopTimeout(settings.MS(s.Timing.StopMS)+stopMargin),
	)
	return app, process
}

// Run starts a daemon, and performs a planned stop on SIGTERM or SIGINT. A
// second signal or the configured time limit ends the requests that still run.
// started is called once the daemon listens. Run returns the number of requests
// that the stop cut off.
func Run(s settings.Settings, started func(*Process)) (int, error) {
	app, process := NewApp(s)
	if err := app.Err(); err != nil {
		return 0, trace.Wrap(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := app.Start(context.Background()); err != nil {
		return 0, trace.Wrap(err)
	}
	started(process)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.MS(s.Timing.StopMS))
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	// fx returns from Stop as soon as its context ends, even if hooks still run.
	// The drain has a shorter limit of its own, so that time remains after it to
	// send callers the outcome of their requests and to hand over to peers.
	process.drainContext = ctx
	stopping, release := context.WithTimeout(context.Background(), app.StopTimeout())
	defer release()
	err := app.Stop(stopping)
	return process.CutRequests, trace.Wrap(err)
}
