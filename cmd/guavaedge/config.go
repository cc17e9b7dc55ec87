package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"guavaridge/core/guavacheck"
	"guavaridge/core/guavatraffic"
	guavawire "guavaridge/platform"
)

// errConfigInvalid ends the check of a configuration with errors, which have been printed.
var errConfigInvalid = errors.New("the configuration has errors")

// configCommand returns the commands about configurations.
func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "work on configurations before they are sent",
		Commands: []*cli.Command{{
			Name: "check", ArgsUsage: "FILE",
			Usage: "report errors, entries that can never match and limits that contradict each other; the exit code is 1 if there are errors",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "also report what changes against the configuration in `FILE`, the one in force"},
				&cli.BoolFlag{Name: "json", Usage: "print a JSON object"},
			},
			Action: checkConfig,
		}},
	}
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("want one argument, the file of the configuration")
	}
	next, err := readDeclaration(c.Args().First())
	if err != nil {
		return err
	}
	findings, changes := guavacheck.Check(next), []guavacheck.Change(nil)
	if file := c.String("against"); file != "" {
		inForce, err := readDeclaration(file)
		if err != nil {
			return err
		}
		var more []guavacheck.Finding
		changes, more = guavacheck.Compare(inForce, next)
		findings = append(findings, more...)
	}
	if c.Bool("json") {
		result := struct {
			Findings []guavacheck.Finding `json:"findings"`
			Changes  []guavacheck.Change  `json:"changes"`
		}{append([]guavacheck.Finding{}, findings...), append([]guavacheck.Change{}, changes...)}
		if err := json.NewEncoder(c.Root().Writer).Encode(result); err != nil {
			return fmt.Errorf("print the result: %w", err)
		}
	} else {
		for _, f := range findings {
			fmt.Fprintf(c.Root().Writer, "%s: %s: %s\n", f.Severity, f.Entry, f.Text)
		}
		for _, d := range changes {
			fmt.Fprintf(c.Root().Writer, "change: %s: %s\n", d.Entry, d.Text)
		}
		if len(findings)+len(changes) == 0 {
			fmt.Fprintln(c.Root().Writer, "ok")
		}
	}
	if guavacheck.HasErrors(findings) {
		return errConfigInvalid
	}
	return nil
}

func readDeclaration(file string) (guavatraffic.Declaration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return guavatraffic.Declaration{}, fmt.Errorf("read the configuration: %w", err)
	}
	d, err := guavawire.DecodeDeclaration(data)
	if err != nil {
		return guavatraffic.Declaration{}, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}
