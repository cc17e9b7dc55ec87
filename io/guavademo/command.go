package guavademo

import (
	"context"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Command returns the demo command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback in this process",
		Description: "Starts a platform stand-in, three failure domains with one VM and two model engines each, and a plain\n" +
			"service. Prints addresses, a key and commands to try. Nothing outlives the process.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "make one request of each kind, print whether each promise held, and exit"},
			&cli.BoolFlag{Name: "verbose", Usage: "log changes of state of all VMs"},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	log := hclog.NewNullLogger()
	if c.Bool("verbose") {
		log = hclog.New(&hclog.LoggerOptions{Name: "guavaridge", Output: c.Root().ErrWriter})
	}
	d, err := New(ctx, log)
	if err != nil {
		return err
	}
	defer d.Close()
	if c.Bool("once") {
		return d.SmokeTest(ctx, c.Root().Writer)
	}
	d.printInstructions(c.Root().Writer)
	<-ctx.Done()
	return nil
}

// printInstructions prints addresses, a key and commands to try the deployment.
func (d *Deployment) printInstructions(w io.Writer) {
	s := d.vms[0].settings
	fmt.Fprintf(w, "callers    http://%s\noperators  %s\nkey        %s\n\n", s.CallerAddress(), s.OperatorAddress(), d.key.Text)
	fmt.Fprintf(w, "Try:\n\n  curl -s http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":%q,\"prompt\":\"hello\",\"max_tokens\":8}'\n\n",
		s.CallerAddress(), d.key.Text, model)
	fmt.Fprintf(w, "  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", s.CallerAddress(), d.key.Text, model)
	fmt.Fprintf(w, "  guavaridge status --address %s --token %s\n\nVMs:\n", s.OperatorAddress(), d.token)
	for _, v := range d.vms {
		fmt.Fprintf(w, "  %s  domain %s  callers %s  admin http://%s/metrics\n", v.settings.Name, v.settings.Domain, v.settings.CallerAddress(), v.settings.AdminAddress())
	}
	fmt.Fprintln(w, "\nCtrl-C ends it.")
}
