// Package cli_test runs the scripts below testdata/script, which call the
// operators' tool. Scripts with "daemon" in their name get a running daemon.
package cli_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamsill/hornbeamsill/internal/cli"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hornbeamsill": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	bin, err := cluster.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			if !strings.Contains(env.WorkDir, "daemon") {
				return nil
			}
			return startDaemon(env, bin)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"status": exitStatus},
	})
}

// startDaemon starts a daemon for a script, with a platform stand-in that lists no
// instances, and sets HORNBEAMSILL_DAEMON to its operators' URL.
func startDaemon(env *testscript.Env, bin cluster.Binaries) error {
	c, err := cluster.New(bin, env.WorkDir)
	if err != nil {
		return err
	}
	env.Defer(c.Close)
	d, err := c.StartDaemon("gbg-a", nil)
	if err != nil {
		return err
	}
	env.Setenv("HORNBEAMSILL_DAEMON", d.OperatorURL)
	return nil
}

// exitStatus implements the script command "status N COMMAND ARGS...", which fails
// unless the command ends with exit code N. The script can then match the
// command's output with stdout and stderr.
func exitStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status N COMMAND ARGS...")
	}
	err := ts.Exec(args[1], args[2:]...)
	code := "0"
	if exit, ok := err.(*exec.ExitError); ok {
		code = exitCode(exit)
	}
	if code != args[0] {
		ts.Fatalf("exit code %s, want %s", code, args[0])
	}
}

// exitCode returns the exit code as text.
func exitCode(e *exec.ExitError) string {
	return strings.TrimPrefix(e.Error(), "exit status ")
}
