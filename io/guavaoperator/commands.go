package guavaoperator

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"guavaridge/core/guavaconfig"
)

// Exit codes of the commands.
const (
	ExitFailed      = 1 // any other failure
	ExitInvalid     = 2 // invalid usage or declarations
	ExitConflict    = 3 // the base version is not the newest; run plan again
	ExitUnconfirmed = 4 // durable, but not confirmed by all VMs in time
	ExitUnknown     = 5 // the outcome is unknown; retry with the same --operation
	ExitUnavailable = 6 // no VM or no platform is reachable; nothing was written
	ExitDenied      = 7 // the token is unknown or the role is insufficient
	ExitGap         = 8 // the audit found missing or invalid entries
)

const exitHelp = `Exit codes: 0 done, 1 failed, 2 invalid usage or declarations, 3 conflict with another
change, 4 durable but not confirmed by all VMs in time, 5 outcome unknown (retry with the
same --operation), 6 no VM or no platform reachable and nothing written, 7 denied, 8 gap in the audit.`

// Commands returns the commands for operators.
func Commands() []*cli.Command {
	list := []*cli.Command{
		{
			Name: "plan", Usage: "show what apply would change", ArgsUsage: "DIR",
			Description: "Reads the *.json files in DIR and compares them with the newest version.",
			Action:      run(plan),
		},
		{
			Name: "apply", Usage: "make the declarations in DIR the next version", ArgsUsage: "DIR",
			Description: "Reads the *.json files in DIR. Keys in force stay unless the files declare keys.\n" +
				"Prints that the change is durable, then on how many VMs it is in force.",
			Flags: append(changeFlags(), &cli.Uint64Flag{Name: "base", Usage: "`VERSION` the declarations start from; the newest when absent"}),
			// --base is optional for scripts that always apply the newest state from version control.
			Action: run(apply),
		},
		{
			Name: "get", Usage: "print the declarations in force, without keys",
			Flags:  []cli.Flag{&cli.BoolFlag{Name: "keys", Usage: "print the identifiers of the keys instead"}},
			Action: run(get),
		},
		{
			Name: "history", Usage: "list accepted changes",
			Flags:  []cli.Flag{&cli.Uint64Flag{Name: "after", Usage: "start after `VERSION`; the newest changes when absent"}, &cli.IntFlag{Name: "limit", Value: 20, Usage: "at most `N` changes, up to 100"}},
			Action: run(history),
		},
		{
			Name: "audit", Usage: "read the whole audit trail back and check it for gaps",
			Flags:  []cli.Flag{&cli.Uint64Flag{Name: "after", Usage: "start after `VERSION`"}},
			Action: run(auditTrail),
		},
		{
			Name: "key", Usage: "issue and withdraw keys of client accounts",
			Commands: []*cli.Command{
				{
					Name: "issue", Usage: "add a key and print its text, which is shown only once", ArgsUsage: "ACCOUNT",
					Flags:  append(operationFlags(), &cli.StringSliceFlag{Name: "route", Usage: "restrict the key to `ROUTE`; may be repeated"}),
					Action: run(issueKey),
				},
				{Name: "withdraw", Usage: "remove a key by its identifier", ArgsUsage: "KEY", Flags: changeFlags(), Action: run(withdrawKey)},
			},
		},
		{
			Name: "status", Usage: "show the configuration version in force on every VM",
			Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
			Action: run(showStatus),
		},
		{
			Name: "drain", Usage: "shut a VM down after its running requests", ArgsUsage: "[VM]",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the log"}},
			Action: run(drain),
		},
		jobCommand(),
	}
	for _, c := range list {
		c.Flags = append(c.Flags, connectionFlags()...)
		c.Description = strings.TrimSpace(c.Description + "\n\n" + exitHelp)
	}
	return list
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Usage: "`IP:PORT` of a VM's operator interface; several are tried in order",
			Sources: cli.EnvVars("GUAVARIDGE_ADDRESS"),
		},
		&cli.StringFlag{
			Name: "token", Usage: "the operator's `TOKEN`; the environment keeps it out of the list of processes",
			Sources: cli.EnvVars("GUAVARIDGE_TOKEN"),
		},
		&cli.StringFlag{
			Name: "ca", Usage: "PEM `FILE` of the authority of the VMs' certificates; without it connections are not encrypted",
			Sources: cli.EnvVars("GUAVARIDGE_CA"),
		},
		&cli.DurationFlag{Name: "timeout", Usage: "give up after `TIME`", Value: time.Minute},
	}
}

func operationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the audit trail", Required: true},
		&cli.StringFlag{Name: "operation", Usage: "`ID` of an earlier run whose outcome is unknown"},
	}
}

func changeFlags() []cli.Flag {
	return append(operationFlags(), &cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the change is in force on all VMs", Value: defaultWait})
}

// run returns an action that calls f with a client for the command's flags and converts errors to exit codes.
func run(f func(ctx context.Context, cmd *cli.Command, c *Client) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c, err := NewClient(cmd.String("token"), cmd.String("ca"), cmd.StringSlice("address")...)
		if err != nil {
			return cli.Exit(errors.Newf("%w; use --address or GUAVARIDGE_ADDRESS", err), ExitInvalid)
		}
		defer c.Close()
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return exit(f(ctx, cmd, c))
	}
}

// exit adds an exit code to an error.
func exit(err error) error {
	var coder cli.ExitCoder
	var invalid guavaconfig.ValidationErrors
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coder):
		return err
	case errors.As(err, &invalid):
		return cli.Exit(err, ExitInvalid)
	}
	s, ok := status.FromError(err)
	if !ok {
		return cli.Exit(err, ExitFailed)
	}
	code := ExitFailed
	switch s.Code() {
	case codes.InvalidArgument:
		code = ExitInvalid
	case codes.Aborted:
		code = ExitConflict
	case codes.Unknown, codes.DeadlineExceeded, codes.Canceled:
		code = ExitUnknown
	case codes.Unavailable:
		code = ExitUnavailable
	case codes.Unauthenticated, codes.PermissionDenied:
		code = ExitDenied
	}
	return cli.Exit(s.Message(), code)
}
