// Command standin2 plays the cases of a review on loopback: it starts the project's processes beside stand-ins of the platform's
// store, model servers and clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	scenarios := map[string]func(record string, trouble bool) int{
		"moved": playMovedRoute, "line": playLongLine, "burst": playBurst, "owners": playOwners, "takeover": playTakeover,
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(scenarios[os.Args[1]](filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

// notRun says why a case could not run.
func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
