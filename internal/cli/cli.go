// Package cli implements hornbeamsill, the operators' command-line tool.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Exit codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitError means that the daemon or the platform failed; a retry may succeed.
	ExitError = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that the document or request is invalid.
	ExitInvalid = 3
	// ExitConflict means that the document was changed after the revision that this change
	// is based on.
	ExitConflict = 4
	// ExitUnknown means that it is unknown whether the change was accepted. Repeating the
	// command with the same change ID returns the outcome.
	ExitUnknown = 5
)

// globalOptions are the options of every command.
type globalOptions struct {
	Daemon string `long:"daemon" default:"127.0.0.1:8481" env:"HORNBEAMSILL_DAEMON" description:"operator listener of any daemon"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Token  string `long:"token" env:"HORNBEAMSILL_TOKEN" description:"operator token"`
}

// app holds the global options and the output of the command that runs.
type app struct {
	globalOptions
	stdout io.Writer
}

// commands defines all commands and their options. go-flags reads it by reflection.
type commands struct {
	globalOptions
	Config struct {
		Check   configCheck   `command:"check" description:"check a document"`
		Apply   configApply   `command:"apply" description:"bring a document into force"`
		Show    configShow    `command:"show" description:"show the documents in force"`
		History configHistory `command:"history" description:"list the accepted revisions"`
	} `command:"config" description:"documents of the co-operative and its sites"`
	Status   statusCommand   `command:"status" description:"show a daemon and what it sees"`
	Versions versionsCommand `command:"versions" description:"list versions, their states and ratings"`
	Rollout  struct {
		Start    rolloutStart    `command:"start" description:"begin to roll a version out"`
		Status   rolloutStatus   `command:"status" description:"list roll-outs"`
		Withdraw rolloutWithdraw `command:"withdraw" description:"withdraw a version at once"`
	} `command:"rollout" description:"roll-outs of versions"`
	Ledger struct {
		List ledgerList `command:"list" description:"list bills"`
	} `command:"ledger" description:"bills"`
	Evacuate  evacuateCommand  `command:"evacuate" description:"send nothing new to the upstreams of a failure domain"`
	Restore   restoreCommand   `command:"restore" description:"use the upstreams of an evacuated failure domain again"`
	Evacuated evacuatedCommand `command:"evacuated" description:"list the evacuated failure domains"`
	Entries   entriesCommand   `command:"entries" description:"list the daemons that callers may use"`
	Load      loadCommand      `command:"load" subcommands-optional:"true" description:"show the demand and the capacity of services that a daemon knows"`
	Entry     struct {
		Check    entryCheck    `command:"check" description:"check the settings of a daemon for plain HTTP callers"`
		Manifest entryManifest `command:"manifest" description:"check an operator's declaration"`
		Show     entryShow     `command:"show" description:"show what such a daemon believes"`

		Quarantine entryQuarantine `command:"quarantine" description:"list the requests that are refused because they crash upstream instances"`
		Evacuated  entryEvacuated  `command:"evacuated" description:"list the evacuations that such a daemon has in force"`
		Release    entryRelease    `command:"release" description:"let a quarantined request run again"`
	} `command:"entry" description:"daemons for plain HTTP callers"`
	Keys struct {
		Rotate keysRotate `command:"rotate" description:"add a signing key and drop expired ones"`
	} `command:"keys" description:"keys that sign session tokens"`
}

// command is implemented by every command; its fields hold the command's options.
type command interface {
	run(a *app) error
}

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	c.Load.Terms.setMetrics(&c.Load.metricsOption)
	parser := flags.NewNamedParser("hornbeamsill", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", &c); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		cmd, ok := chosen.(command)
		if !ok {
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "a command is needed"}
		}
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return cmd.run(&app{globalOptions: c.globalOptions, stdout: stdout})
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, stdout, stderr)
}

// reportError prints err and returns the exit code for it. Help, which go-flags returns as an
// error, goes to stdout with ExitOK.
func reportError(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	var invalid *config.InvalidError
	var f *fault.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	case errors.As(err, &invalid):
		fmt.Fprintln(stderr, invalid)
		return ExitInvalid
	case trace.IsBadParameter(err):
		fmt.Fprintln(stderr, err)
		return ExitInvalid
	case errors.As(err, &f):
		fmt.Fprintf(stderr, "%s: %s\n", f.Kind, f.Message)
		return exitCode(f.Kind)
	default:
		fmt.Fprintln(stderr, err)
		return ExitError
	}
}

func exitCode(kind fault.Kind) int {
	switch kind {
	case fault.ConfigInvalid, fault.BadRequest, fault.UnknownModel, fault.NotFound:
		return ExitInvalid
	case fault.ConfigConflict:
		return ExitConflict
	case fault.ConfigUnknown:
		return ExitUnknown
	default:
		return ExitError
	}
}
