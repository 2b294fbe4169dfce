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

// stopMargin is added to the set limit of a stop, for closing what is left.
const stopMargin = 30 * time.Second

// NewApp returns the fx app of a daemon and its process, for Run and tests.
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

// Run starts a daemon and stops it as planned on SIGTERM or SIGINT. A second
// signal or the set limit ends the stop early. started is called once the
// daemon listens. Run returns the number of requests cut off.
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
	// fx returns from Stop as soon as its context ends, with hooks still
	// running. The hook gets a limit of its own, after which it still tells
	// callers and peers what became of their requests.
	process.limit = ctx
	stopping, release := context.WithTimeout(context.Background(), app.StopTimeout())
	defer release()
	err := app.Stop(stopping)
	return process.Cut, trace.Wrap(err)
}
