package guavacommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"guavaridge"
	"guavaridge/io/guavasettings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run this VM's process",
		Description: "Serves callers, operators and the other VMs as the settings say. SIGTERM and SIGINT drain: /readyz fails,\n" +
			"running requests end, then the process exits with 0. A second signal ends it at once.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "config", Usage: "JSON settings `FILE`", Required: true}},
		Action: serve,
	}
}

func serve(_ context.Context, c *cli.Command) error {
	s, err := guavasettings.Load(c.String("config"))
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: s.Name, Level: hclog.LevelFromString(s.Log), JSONFormat: true, Output: os.Stderr})
	vm, err := guavaridge.New(s, guavaridge.WithLogger(log))
	if err != nil {
		return errors.Newf("%s: %w", c.String("config"), err)
	}
	// The context passed in is cancelled by the first signal, which must only start the drain.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// Without this, the first log line after the reader of the log has ended would end the process.
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-signals
		vm.Drain()
		<-signals
		cancel()
	}()
	return vm.Run(ctx)
}
