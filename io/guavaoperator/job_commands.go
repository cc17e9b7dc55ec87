package guavaoperator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"

	"guavaridge/io/guavaschema"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name: "jobs", Usage: "control the batch jobs of all client accounts",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job whose items are the lines of FILE, JSON each", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` that the job belongs to", Required: true},
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the job"},
					&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`; the same key is the same job"},
					&cli.StringFlag{Name: "due", Usage: "`TIME` (RFC 3339) or duration from now"},
				},
				Action: run(submitJob),
			},
			{
				Name: "list", Usage: "list jobs",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "account", Usage: "only jobs of the client `ACCOUNT`"},
					&cli.StringFlag{Name: "after", Usage: "start after the job `ID`"},
					&cli.IntFlag{Name: "limit", Value: 20, Usage: "at most `N` jobs, up to 100"},
				},
				Action: run(listJobs),
			},
			{Name: "show", Usage: "show a job", ArgsUsage: "ID", Action: run(showJob)},
			{Name: "cancel", Usage: "stop a job", ArgsUsage: "ID", Action: run(cancelJob)},
		},
	}
}

func printJob(w io.Writer, j *guavaschema.JobInfo) {
	fmt.Fprintf(w, "%s %s %q %s: %d items, %d done, %d failed, created %s, due %s\n",
		j.GetId(), j.GetAccount(), j.GetName(), j.GetState(), j.GetItems(), j.GetDone(), j.GetFailed(), j.GetCreated(), j.GetDue())
}

func submitJob(ctx context.Context, cmd *cli.Command, c *Client) error {
	name, err := argument(cmd)
	if err != nil {
		return err
	}
	due, err := parseDue(cmd.String("due"))
	if err != nil {
		return cli.Exit(err, ExitInvalid)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Newf("open items: %w", err)
	}
	defer file.Close()
	j, err := c.SubmitJob(ctx, NewJob{Account: cmd.String("account"), Name: cmd.String("name"), Key: cmd.String("key"), Deadline: due}, file)
	if err != nil {
		return err
	}
	printJob(cmd.Root().Writer, j)
	return nil
}

func listJobs(ctx context.Context, cmd *cli.Command, c *Client) error {
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		reply, err := o.ListJobs(ctx, &guavaschema.ListJobsRequest{
			Account: cmd.String("account"), After: cmd.String("after"), Limit: int32(cmd.Int("limit")),
		})
		for _, j := range reply.GetJobs() {
			printJob(cmd.Root().Writer, j)
		}
		return err
	})
}

func showJob(ctx context.Context, cmd *cli.Command, c *Client) error {
	return onJob(ctx, cmd, c, guavaschema.OperatorClient.ShowJob)
}

func cancelJob(ctx context.Context, cmd *cli.Command, c *Client) error {
	return onJob(ctx, cmd, c, guavaschema.OperatorClient.CancelJob)
}

// onJob calls f for the job that the argument names and prints what it returns.
func onJob(
	ctx context.Context, cmd *cli.Command, c *Client,
	f func(guavaschema.OperatorClient, context.Context, *guavaschema.JobRequest, ...grpc.CallOption) (*guavaschema.JobInfo, error),
) error {
	id, err := argument(cmd)
	if err != nil {
		return err
	}
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		j, err := f(o, ctx, &guavaschema.JobRequest{Id: id})
		if err == nil {
			printJob(cmd.Root().Writer, j)
		}
		return err
	})
}
