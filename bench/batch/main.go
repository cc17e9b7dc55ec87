// Command batch measures batch processing beside online traffic: in a discrete-event simulation of engines with a fixed
// seed, and on the batch runner with a simulated platform. It runs for less than two minutes and has no options.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	simulateEngines()
	if err := measureYield(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "yield:", err)
		os.Exit(1)
	}
	if err := measureIdle(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "idle:", err)
		os.Exit(1)
	}
	if err := measureLarge(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "large job:", err)
		os.Exit(1)
	}
}
