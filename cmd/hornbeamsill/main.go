// Command hornbeamsill is the operators' command-line tool.
package main

import (
	"os"

	"github.com/hornbeamsill/hornbeamsill/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
