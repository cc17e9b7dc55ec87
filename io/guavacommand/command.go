// Package guavacommand contains the command line interface of the guavaridge program.
package guavacommand

import (
	"slices"

	"github.com/urfave/cli/v3"

	"guavaridge/io/guavabatch"
	"guavaridge/io/guavademo"
	"guavaridge/io/guavaload"
	"guavaridge/io/guavaoperator"
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "guavaridge",
		Usage: "serve online and batch inference on one fleet",
		Description: "One process of `guavaridge serve` runs on each VM and takes every role. `guavaridge demo` starts a whole\n" +
			"deployment on loopback for experiments. The exit code is 0 on success and 1 on failure.",
		EnableShellCompletion: true,
		Commands: slices.Concat(
			[]*cli.Command{serveCommand(), checkCommand(), guavademo.Command(), standinCommand(), guavaload.Command()},
			guavaoperator.Commands(),
			guavabatch.Commands(),
		),
	}
}
