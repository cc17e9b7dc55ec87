// Command standin3 plays the scripts of the third review. It starts the programs of the system as processes on loopback, beside
// stand-ins of the store, the servers, the clients and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(folder string, trouble bool){}
	for name, play := range plays {
		cases[name] = play
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review3-")
	check(err)
	if os.Getenv("KEEP") != "" {
		fmt.Println(folder)
	}
	cases[os.Args[1]](folder, os.Getenv("TROUBLE") != "0")
}
