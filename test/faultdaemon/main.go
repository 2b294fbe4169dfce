// Command faultdaemon is the daemon for plain HTTP callers with connections to upstream instances
// that are subject to the fault in a control file; see package faultdial.
package main

import (
	"fmt"
	"os"

	"go.uber.org/fx"

	"github.com/hornbeamsill/hornbeamsill/internal/entry"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/telemetry"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
	"github.com/hornbeamsill/hornbeamsill/test/faultdial"
)

// controlSuffix is appended to the path of the settings file to get that of the control file.
const controlSuffix = ".fault"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: faultdaemon SETTINGS")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	f, _, err := settings.LoadRoutes(path)
	if err != nil {
		return err
	}
	logs := telemetry.NewLineWriter(os.Stdout)
	defer logs.Close()
	if err := telemetry.SetupLogs(logs, f.LogLevel); err != nil {
		return err
	}
	return entry.Run(path, f, fx.Decorate(func(d upconn.Dialer) upconn.Dialer { return faultdial.New(d, path+controlSuffix) }))
}
