package guavaoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaschema"
)

func argument(cmd *cli.Command) (string, error) {
	if cmd.NArg() != 1 {
		return "", cli.Exit(fmt.Sprintf("%s needs one argument: %s", cmd.Name, cmd.ArgsUsage), ExitInvalid)
	}
	return cmd.Args().First(), nil
}

// operation returns the operation identifier of the command's request. It prints the identifier for use in a retry.
func operation(cmd *cli.Command) string {
	id := cmd.String("operation")
	if id == "" {
		id = NewOperation()
	}
	fmt.Fprintln(cmd.Root().ErrWriter, "operation", id)
	return id
}

func plan(ctx context.Context, cmd *cli.Command, c *Client) error {
	dir, err := argument(cmd)
	if err != nil {
		return err
	}
	d, err := LoadDirectory(dir)
	if err != nil {
		return err
	}
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		reply, err := o.Plan(ctx, &guavaschema.PlanRequest{Declarations: guavaconfig.Encode(d)})
		if err == nil {
			fmt.Fprintf(cmd.Root().Writer, "base %d\n%s", reply.GetBase(), describeDiff(reply.GetDiff()))
		}
		return err
	})
}

func describeDiff(diff string) string {
	if diff == "" {
		return "nothing changes\n"
	}
	return diff
}

func apply(ctx context.Context, cmd *cli.Command, c *Client) error {
	dir, err := argument(cmd)
	if err != nil {
		return err
	}
	d, err := LoadDirectory(dir)
	if err != nil {
		return err
	}
	q := &guavaschema.ApplyRequest{
		Base: cmd.Uint64("base"), Reason: cmd.String("reason"),
		Declarations: guavaconfig.Encode(d), Wait: cmd.Duration("wait").Milliseconds(),
	}
	if !cmd.IsSet("base") {
		if cmd.IsSet("operation") {
			// With a newer base, the search for the earlier run's change would start after that change.
			return cli.Exit("--operation needs the --base of the earlier run", ExitInvalid)
		}
		err := c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
			reply, err := o.Plan(ctx, &guavaschema.PlanRequest{Declarations: q.GetDeclarations()})
			q.Base = reply.GetBase()
			return err
		})
		if err != nil {
			return err
		}
	}
	fmt.Fprintln(cmd.Root().ErrWriter, "base", q.GetBase())
	q.Operation = operation(cmd)
	last, err := c.Apply(ctx, q, progress(cmd.Root().Writer))
	if err != nil {
		return unconfirmed(last, err)
	}
	return checkConfirmed(last)
}

// progress returns a function that prints the diff with the first reply and the confirmations of each reply.
func progress(w io.Writer) func(*guavaschema.ApplyReply) {
	first := true
	return func(r *guavaschema.ApplyReply) {
		if first {
			first = false
			fmt.Fprint(w, describeDiff(r.GetDiff()))
			fmt.Fprintf(w, "version %d is durable\n", r.GetVersion())
		}
		fmt.Fprintf(w, "version %d is in force on %d of %d VMs\n",
			r.GetVersion(), r.GetConfirmed(), int(r.GetConfirmed())+len(r.GetMissing()))
	}
}

// unconfirmed returns err if no reply was received. Otherwise the change is durable and the error has ExitUnconfirmed.
func unconfirmed(last *guavaschema.ApplyReply, err error) error {
	if last == nil {
		return err
	}
	return cli.Exit(fmt.Sprintf("version %d is durable; following it failed: %v", last.GetVersion(), err), ExitUnconfirmed)
}

func checkConfirmed(last *guavaschema.ApplyReply) error {
	if len(last.GetMissing()) == 0 {
		return nil
	}
	return cli.Exit(fmt.Sprintf("version %d is durable; not confirmed by %s", last.GetVersion(), strings.Join(last.GetMissing(), ", ")), ExitUnconfirmed)
}

func get(ctx context.Context, cmd *cli.Command, c *Client) error {
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		reply, err := o.Get(ctx, &guavaschema.GetRequest{})
		if err != nil {
			return err
		}
		if cmd.Bool("keys") {
			for _, k := range reply.GetKeys() {
				fmt.Fprintln(cmd.Root().Writer, k.GetName(), k.GetAccount(), strings.Join(k.GetRoutes(), ","))
			}
			return nil
		}
		return printJSON(cmd.Root().Writer, json.RawMessage(reply.GetDeclarations()))
	})
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func history(ctx context.Context, cmd *cli.Command, c *Client) error {
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		after := cmd.Uint64("after")
		if !cmd.IsSet("after") {
			current, err := o.Status(ctx, &guavaschema.StatusRequest{})
			if err != nil {
				return err
			}
			after = current.GetVersion() - min(current.GetVersion(), uint64(max(cmd.Int("limit"), 0)))
		}
		reply, err := o.History(ctx, &guavaschema.HistoryRequest{After: after, Limit: int32(cmd.Int("limit"))})
		if err != nil {
			return err
		}
		for _, e := range reply.GetEntries() {
			printEntry(cmd.Root().Writer, e)
		}
		return nil
	})
}

func printEntry(w io.Writer, e *guavaschema.AuditEntry) {
	fmt.Fprintf(w, "%d %s %s %q operation %s\n", e.GetVersion(), e.GetTime(), e.GetOperator(), e.GetReason(), e.GetOperation())
	d := make(guavaconfig.Delta, 0, len(e.GetEdits()))
	for _, x := range e.GetEdits() {
		d = append(d, guavaconfig.Edit{
			Kind: guavaconfig.Kind(x.GetKind()), Name: x.GetName(),
			Before: json.RawMessage(x.GetBefore()), After: json.RawMessage(x.GetAfter()),
		})
	}
	for line := range strings.Lines(d.String()) {
		fmt.Fprint(w, "  ", line)
	}
}

func auditTrail(ctx context.Context, cmd *cli.Command, c *Client) error {
	w := cmd.Root().Writer
	reply, err := c.Audit(ctx, cmd.Uint64("after"), func(e *guavaschema.AuditEntry) { printEntry(w, e) })
	if err != nil {
		return err
	}
	if len(reply.GetMissing()) == 0 && len(reply.GetFaults()) == 0 {
		fmt.Fprintf(w, "no gap up to version %d\n", reply.GetHead())
		return nil
	}
	for _, v := range reply.GetMissing() {
		fmt.Fprintf(w, "version %d is missing\n", v)
	}
	for _, f := range reply.GetFaults() {
		fmt.Fprintln(w, f)
	}
	return cli.Exit("the audit trail has gaps or faults", ExitGap)
}

func issueKey(ctx context.Context, cmd *cli.Command, c *Client) error {
	account, err := argument(cmd)
	if err != nil {
		return err
	}
	q := &guavaschema.IssueKeyRequest{
		Operation: operation(cmd), Reason: cmd.String("reason"), Account: account, Routes: cmd.StringSlice("route"),
	}
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		reply, err := o.IssueKey(ctx, q)
		if err == nil {
			fmt.Fprintf(cmd.Root().Writer, "key %s, version %d\n%s\n", reply.GetName(), reply.GetVersion(), reply.GetText())
		}
		return err
	})
}

func withdrawKey(ctx context.Context, cmd *cli.Command, c *Client) error {
	name, err := argument(cmd)
	if err != nil {
		return err
	}
	last, err := c.WithdrawKey(ctx, &guavaschema.WithdrawKeyRequest{
		Operation: operation(cmd), Reason: cmd.String("reason"), Name: name, Wait: cmd.Duration("wait").Milliseconds(),
	}, progress(cmd.Root().Writer))
	if err != nil {
		return unconfirmed(last, err)
	}
	return checkConfirmed(last)
}

func showStatus(ctx context.Context, cmd *cli.Command, c *Client) error {
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		reply, err := o.Status(ctx, &guavaschema.StatusRequest{})
		if err != nil {
			return err
		}
		vms := make(map[string]uint64, len(reply.GetVms()))
		for _, v := range reply.GetVms() {
			vms[v.GetName()] = v.GetVersion()
		}
		if cmd.Bool("json") {
			return printJSON(cmd.Root().Writer, map[string]any{"vm": reply.GetVm(), "version": reply.GetVersion(), "vms": vms})
		}
		fmt.Fprintf(cmd.Root().Writer, "%s answers, version %d\n", reply.GetVm(), reply.GetVersion())
		for _, v := range reply.GetVms() {
			fmt.Fprintf(cmd.Root().Writer, "%-24s %d\n", v.GetName(), v.GetVersion())
		}
		return nil
	})
}

func drain(ctx context.Context, cmd *cli.Command, c *Client) error {
	if cmd.NArg() > 1 {
		return cli.Exit("drain takes at most one VM", ExitInvalid)
	}
	if cmd.NArg() == 0 && len(c.conns) > 1 {
		// With several addresses, a retry would drain the VM at the next address instead.
		return cli.Exit("name the VM, or give a single --address", ExitInvalid)
	}
	return c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		_, err := o.Drain(ctx, &guavaschema.DrainRequest{Vm: cmd.Args().First(), Reason: cmd.String("reason")})
		return err
	})
}
