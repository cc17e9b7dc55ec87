// Command guavaedge runs an entry VM of guavaridge on a shared platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"guavaridge/io/guavaedge"
	"guavaridge/io/guavaexplain"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavalog"
	"guavaridge/io/guavatransport"
	guavawire "guavaridge/platform"
)

const (
	// memoryShare is the fraction of a VM's memory set as the limit of the runtime, above which it collects garbage more
	// often.
	memoryShare = 0.6
	// gcPercent is the growth of the heap between garbage collections. It is below the default since at these request
	// rates memory costs more than the CPU time of collections.
	gcPercent = 60
)

func main() {
	config := &cli.StringFlag{
		Name: "config", Usage: "JSON settings `FILE`; the default is set by the platform", Value: guavawire.SettingsFile(),
	}
	root := &cli.Command{
		Name: "guavaedge", Usage: "serve callers of a shared platform from an entry VM",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the process of this VM; SIGTERM drains and stops it", Flags: []cli.Flag{config}, Action: serve},
			{
				Name: "explain", Usage: "print the timeline of a request, job or item from log files of VMs", ArgsUsage: "ID FILE...",
				Action: explain,
			},
			configCommand(),
			{Name: "check", Usage: "validate the settings file", Flags: []cli.Flag{config}, Action: check},
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "guavaedge:", err)
		os.Exit(1)
	}
}

func check(_ context.Context, c *cli.Command) error {
	if _, err := guavaedge.Load(c.String("config")); err != nil {
		return err //nolint:wrapcheck // it names the file
	}
	fmt.Fprintln(c.Root().Writer, "ok")
	return nil
}

func explain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return errors.New("got too few arguments, want an ID and at least one log file")
	}
	var all guavaexplain.Log
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		log, err := guavaexplain.Read(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
		f.Close()
		if err != nil {
			return fmt.Errorf("log %s: %w", name, err)
		}
		all = append(all, log...)
	}
	if all.Explain(c.Root().Writer, args[0]) == 0 {
		return fmt.Errorf("no log line with ID %s found", args[0])
	}
	return nil
}

func serve(ctx context.Context, c *cli.Command) error {
	// Signals that arrive during the start wait in the channel. By default, SIGHUP would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// Without this, the first log line after the reader of the log has ended would end the process.
	signal.Ignore(syscall.SIGPIPE)
	s, err := guavaedge.Load(c.String("config"))
	if err != nil {
		return err //nolint:wrapcheck // it names the file
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	lines := guavalog.New(os.Stdout, s.Lines, guavagate.IsRoutine)
	defer lines.Close()
	logger := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: lines, Level: hclog.Info})
	network := guavatransport.TCP()
	edge, err := guavaedge.New(s, guavawire.New(s.Store, network.Dial, s.Memory<<20), network, logger)
	if err != nil {
		return fmt.Errorf("create the process: %w", err)
	}
	if err := edge.CountDropped(lines.Dropped); err != nil {
		return fmt.Errorf("register metrics of the log: %w", err)
	}
	go func() {
		for got := range signals {
			if got != syscall.SIGHUP {
				logger.Info("signal", "name", got.String())
				edge.Drain()
				continue
			}
			if _, err := guavaedge.Load(c.String("config")); err != nil {
				logger.Error("reload", "error", err)
				continue
			}
			// The file is only validated: addresses are fixed for the lifetime of a process, and what may change at run time
			// comes from the store.
			logger.Info("reload", "changed", false)
		}
	}()
	return edge.Run(ctx) //nolint:wrapcheck // each part names itself
}
