// Command cases plays the script cases of the second review. It starts the gateways of a small
// deployment as separate processes, with stand-ins for the platform's store, the backend servers
// and the clients in this process, and checks one rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the script cases by the number of their folder. Each reports whether the rule was
// broken, or an error if it could not run.
var cases = map[string]func(*rig) (broken bool, err error){
	"6": playTokenCount,
	"7": playUploads,
	"8": playKeptChannels,
}

func main() {
	number := flag.String("case", "", "number of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*number, *dir))
}

func run(number, dir string) int {
	play := cases[number]
	if play == nil {
		fmt.Println("unknown case")
		return exitNotRun
	}
	r, err := newRig(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(r)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("the rule was broken")
		return exitBroken
	}
	r.printf("the rule held")
	return exitHeld
}
