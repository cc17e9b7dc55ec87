package guavacommand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"guavaridge/io/guavastandin"
)

// faultHeaderTime bounds the reading of a fault request's header.
const faultHeaderTime = 5 * time.Second

func standinCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Usage: "loopback `IP:PORT` to listen on", Required: true}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in of an outside system, for trials on one machine",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "table service, object store, weight store and list of VMs, in memory",
				Action: standinPlatform,
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: "faults", Usage: "loopback `IP:PORT` of POST /fault and GET /counts"},
					&cli.FloatFlag{Name: "writes", Usage: "rows written per second", Value: guavastandin.DefaultWritesPerSecond},
					&cli.FloatFlag{Name: "reads", Usage: "rows read per second", Value: guavastandin.DefaultReadsPerSecond},
				},
			},
			{
				Name:   "engine",
				Usage:  "model engine with continuous batching; POST /fault switches faults",
				Action: standinEngine,
				Flags: []cli.Flag{
					address,
					&cli.StringSliceFlag{Name: "model", Usage: "`NAME` of a model served from the start; may be repeated"},
					&cli.IntFlag{Name: "slots", Usage: "streams that run at once", Value: 16},
					&cli.DurationFlag{Name: "step", Usage: "time of a step", Value: 10 * time.Millisecond},
					&cli.DurationFlag{Name: "each", Usage: "additional time of a step for each stream", Value: 200 * time.Microsecond},
					&cli.DurationFlag{Name: "report", Usage: "time between load reports", Value: 500 * time.Millisecond},
					&cli.BoolFlag{Name: "checks", Usage: "refuse orders with an old epoch"},
				},
			},
			{
				Name:   "service",
				Usage:  "plain service that counts how often each booking ran; POST /fault switches faults",
				Action: standinService,
				Flags:  []cli.Flag{address, &cli.DurationFlag{Name: "work", Usage: "time of a call", Value: 5 * time.Millisecond}},
			},
		},
	}
}

// listenLoopback opens the address of --address, which must be a loopback address.
func listenLoopback(address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().IsLoopback() {
		return nil, errors.Newf("%q is not allowed; want a loopback IP number and port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Newf("listen: %w", err)
	}
	return l, nil
}

func standinPlatform(ctx context.Context, c *cli.Command) error {
	l, err := listenLoopback(c.String("address"))
	if err != nil {
		return err
	}
	p := guavastandin.NewPlatform(guavastandin.WithPlatformLimits(c.Float("writes"), c.Float("reads")))
	if a := c.String("faults"); a != "" {
		f, err := listenLoopback(a)
		if err != nil {
			return err
		}
		s := &http.Server{Handler: guavastandin.PlatformFaults(p), ReadHeaderTimeout: faultHeaderTime}
		go func() { _ = s.Serve(f) }()
		defer func() { _ = s.Close() }()
	}
	fmt.Fprintf(c.Root().Writer, "platform on %s\n", l.Addr())
	return guavastandin.ServePlatform(ctx, p, l)
}

func standinEngine(ctx context.Context, c *cli.Command) error {
	e := guavastandin.NewEngine(guavastandin.EngineConfig{
		Models: c.StringSlice("model"), Slots: c.Int("slots"), Step: c.Duration("step"), StepEach: c.Duration("each"),
		ReportEvery: c.Duration("report"), RejectStaleEpochs: c.Bool("checks"), DisableRecording: true,
	})
	return serveStandin(ctx, c, "engine", e.Serve, e.Close)
}

func standinService(ctx context.Context, c *cli.Command) error {
	s := guavastandin.NewService(guavastandin.ServiceConfig{ServiceTime: c.Duration("work")})
	return serveStandin(ctx, c, "service", s.Serve, s.Close)
}

// serveStandin serves until ctx ends.
func serveStandin(ctx context.Context, c *cli.Command, name string, serve func(net.Listener) error, stop func()) error {
	l, err := listenLoopback(c.String("address"))
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s on %s\n", name, l.Addr())
	ended := make(chan error, 1)
	go func() { ended <- serve(l) }()
	select {
	case <-ctx.Done():
		stop()
		return nil
	case err := <-ended:
		return err
	}
}
