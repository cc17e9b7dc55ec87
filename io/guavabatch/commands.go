package guavabatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// watchInterval is the polling interval of a watched job.
const watchInterval = time.Second

// Commands returns the command "job" with its subcommands.
func Commands() []*cli.Command {
	connection := []cli.Flag{
		&cli.StringFlag{
			Name: "address", Usage: "`HOST:PORT` or URL of a VM", Value: "127.0.0.1:8080",
			Sources: cli.EnvVars("GUAVARIDGE_CALLERS"),
		},
		&cli.StringFlag{
			Name: "key", Usage: "`KEY` of the client account", Required: true, Sources: cli.EnvVars("GUAVARIDGE_KEY"),
		},
	}
	return []*cli.Command{{
		Name: "job", Usage: "submit and follow batch jobs", Flags: connection,
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a file of items, - for the standard input", ArgsUsage: "FILE", Action: submitJob,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "endpoint", Usage: "`PATH` to which the items go", Value: "/v1/chat/completions"},
					&cli.StringFlag{Name: "window", Usage: "`TIME` until the deadline", Value: "24h"},
					&cli.StringFlag{Name: "idempotency-key", Usage: "`TEXT` under which the job is accepted once"},
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the file, by default its own"},
					&cli.BoolFlag{Name: "watch", Usage: "follow the job to its end"},
				},
			},
			{
				Name: "list", Usage: "list jobs, newest first", Action: listJobs,
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "limit", Value: pageSize},
					&cli.StringFlag{Name: "after", Usage: "`ID` of the last job of the page before"},
				},
			},
			{Name: "show", Usage: "show a job as JSON", ArgsUsage: "ID", Action: showJob},
			{Name: "watch", Usage: "follow a job to its end", ArgsUsage: "ID", Action: watchJob},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Action: cancelJob},
			{
				Name: "result", Usage: "write the results of a job", ArgsUsage: "ID", Action: jobResult,
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "errors", Usage: "write the error lines instead"},
					&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FILE`, by default the standard output"},
				},
			},
		},
	}}
}

func connect(cmd *cli.Command) *apiClient {
	return newAPIClient(cmd.String("address"), cmd.String("key"))
}

// argument returns the single argument of a command.
func argument(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Newf("%s needs one argument: %s", cmd.Name, cmd.ArgsUsage)
	}
	return cmd.Args().First(), nil
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	path, err := argument(cmd)
	if err != nil {
		return err
	}
	in := cmd.Root().Reader
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return errors.Newf("open items: %w", err)
		}
		defer f.Close()
		in = f
	}
	name := cmd.String("name")
	if name == "" {
		name = filepath.Base(path)
	}
	c := connect(cmd)
	file, err := c.upload(ctx, name, in)
	if err != nil {
		return err
	}
	b, err := c.submit(ctx, file.ID, cmd.String("endpoint"), cmd.String("window"), cmd.String("idempotency-key"))
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	fmt.Fprintln(out, b.ID)
	if b.Errors != nil {
		for _, e := range b.Errors.Data {
			fmt.Fprintf(out, "line %d: %s: %s\n", e.Line, e.Code, e.Message)
		}
	}
	if cmd.Bool("watch") {
		return follow(ctx, c, b.ID, out)
	}
	return nil
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	page, err := connect(cmd).list(ctx, cmd.String("after"), cmd.Int("limit"))
	if err != nil {
		return err
	}
	for _, b := range page.Data {
		fmt.Fprintf(cmd.Root().Writer, "%s  %-11s  %d/%d, %d failed  due %s\n", b.ID, b.Status,
			b.Counts.Completed+b.Counts.Failed, b.Counts.Total, b.Counts.Failed, time.Unix(b.Expires, 0).UTC().Format(time.RFC3339))
	}
	return nil
}

func showJob(ctx context.Context, cmd *cli.Command) error {
	return printJob(ctx, cmd, (*apiClient).show)
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	return printJob(ctx, cmd, (*apiClient).cancel)
}

// printJob prints the job that f returns as JSON.
func printJob(ctx context.Context, cmd *cli.Command, f func(*apiClient, context.Context, string) (batchObject, error)) error {
	id, err := argument(cmd)
	if err != nil {
		return err
	}
	b, err := f(connect(cmd), ctx, id)
	if err != nil {
		return err
	}
	e := json.NewEncoder(cmd.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(b)
}

func watchJob(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd)
	if err != nil {
		return err
	}
	return follow(ctx, connect(cmd), id, cmd.Root().Writer)
}

// follow shows the progress of a job until it ends. It tolerates 30 failed polls in a row.
func follow(ctx context.Context, c *apiClient, id string, w io.Writer) error {
	m := newProgressMeter(w)
	failures := 0
	for {
		b, err := c.show(ctx, id)
		switch {
		case err != nil:
			if failures++; failures > 30 || ctx.Err() != nil {
				return err
			}
		case b.ended():
			m.show(b, true)
			return nil
		default:
			failures = 0
			m.show(b, false)
		}
		if !sleep(ctx, watchInterval) {
			return ctx.Err()
		}
	}
}

// ended reports whether the job's status is final.
func (b batchObject) ended() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

func jobResult(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd)
	if err != nil {
		return err
	}
	c := connect(cmd)
	b, err := c.show(ctx, id)
	if err != nil {
		return err
	}
	file := b.Output
	if cmd.Bool("errors") {
		file = b.ErrorFile
	}
	if path := cmd.String("output"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return errors.Newf("create output: %w", err)
		}
		return errors.Join(c.result(ctx, file, f), f.Close())
	}
	return c.result(ctx, file, cmd.Root().Writer)
}
