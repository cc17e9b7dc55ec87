package guavacommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavasettings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate settings or declarations",
		ArgsUsage: "FILE...",
		Description: "Checks each FILE: settings of a VM (a JSON object with \"address\" or \"domain\"), or a file or directory of\n" +
			"declarations. Every error names the file, the path inside it, the value, and what is allowed.",
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("want at least one file; see guavaridge check --help")
	}
	var errs []error
	for _, file := range c.Args().Slice() {
		if err := checkFile(file); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(c.Root().Writer, "%s: ok\n", file)
	}
	return errors.Join(errs...)
}

func checkFile(file string) error {
	if isSettings(file) {
		_, err := guavasettings.Load(file)
		return err
	}
	return guavaoperator.CheckFile(file)
}

// isSettings reports whether a file contains settings. Unlike declarations, they have an address or a domain at the top
// level.
func isSettings(file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return false
	}
	_, address := top["address"]
	_, domain := top["domain"]
	return address || domain
}
