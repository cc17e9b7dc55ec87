package guavaload

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const filePermissions = 0o644

// Command returns the bench command.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "put an open-loop load on callers' interfaces and report what callers see",
		ArgsUsage: "FILE",
		Description: "FILE is a JSON load file; docs/results holds examples. Arrivals do not wait for earlier answers, so that\n" +
			"waiting counts. Only loopback addresses are allowed as targets.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write the report as JSON to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE` (.svg or .png)"},
			&cli.StringSliceFlag{Name: "target", Usage: "callers' `ADDRESS` in place of those in the load file; may be repeated"},
		},
		Action:   bench,
		Commands: []*cli.Command{{Name: "diff", Usage: "compare two JSON reports", ArgsUsage: "A B", Action: diff}},
	}
}

func bench(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("want one load file; see guavaridge bench --help")
	}
	p, err := Load(c.Args().First())
	if err != nil {
		return err
	}
	if targets := c.StringSlice("target"); len(targets) > 0 {
		p = p.WithTargets(targets)
		if err := p.Validate(); err != nil {
			return errors.Newf("--target: %w", err)
		}
	}
	r := Run(ctx, p)
	r.Write(c.Root().Writer)
	if file := c.String("out"); file != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Newf("encode report: %w", err)
		}
		if err := os.WriteFile(file, append(data, '\n'), filePermissions); err != nil {
			return errors.Newf("write report: %w", err)
		}
	}
	if file := c.String("plot"); file != "" {
		return r.Plot(file)
	}
	return nil
}

func diff(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("want two report files; see guavaridge bench diff --help")
	}
	var reports [2]Report
	for i := range reports {
		data, err := os.ReadFile(c.Args().Get(i))
		if err != nil {
			return errors.Newf("read report: %w", err)
		}
		if err := json.Unmarshal(data, &reports[i]); err != nil {
			return errors.Newf("%s: %w", c.Args().Get(i), err)
		}
	}
	a, b := reports[0], reports[1]
	w := c.Root().Writer
	row := func(name string, x, y float64) {
		ratio := "-"
		if x != 0 {
			ratio = fmt.Sprintf("%.3f", y/x)
		}
		fmt.Fprintf(w, "%-28s %14.3f %14.3f %10s\n", name, x, y, ratio)
	}
	fmt.Fprintf(w, "%-28s %14s %14s %10s\n", "", a.Name, b.Name, "B / A")
	row("answers/s", float64(a.Answers)/a.Seconds, float64(b.Answers)/b.Seconds)
	row("tokens/s", float64(a.Tokens)/a.Seconds, float64(b.Tokens)/b.Seconds)
	row("first token p50 (ms)", ms(a.First.P50), ms(b.First.P50))
	row("first token p95 (ms)", ms(a.First.P95), ms(b.First.P95))
	row("first token p99 (ms)", ms(a.First.P99), ms(b.First.P99))
	row("token gap p95 (ms)", ms(a.Gap.P95), ms(b.Gap.P95))
	row("service p95 (ms)", ms(a.Service.P95), ms(b.Service.P95))
	row("worst on-time share (%)", 100*a.MinOnTime, 100*b.MinOnTime)
	row("refused within the rate (%)", 100*a.LimitedWithinRateShare, 100*b.LimitedWithinRateShare)
	return nil
}
