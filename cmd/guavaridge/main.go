// Command guavaridge serves online and batch inference on one fleet of backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"guavaridge/io/guavacommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := guavacommand.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "guavaridge:", err)
		os.Exit(1)
	}
}
