// Command rig plays the review's cases against daemons that run as separate processes on
// loopback. Its exit status is 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
//
//	rig CASE DIR     plays a case; DIR gets record.txt
//	rig server ...   is a backend server, started by a case
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet) bool{
	"blank-line":      playBlankLine,
	"drained-stream":  playDrainedStream,
	"leaving-unheard": playLeavingUnheard,
	"missing-event":   playMissingEvent,
	"poison":          playPoison,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		serveBackend(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(exitUnknown)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case, and ends all processes that it started.
func play(run func(f *fleet) bool, dir string) (status int) {
	f, err := newFleet(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	defer f.close()
	f.closeOnSignal()
	defer func() {
		if r := recover(); r != nil {
			f.record("the case could not run: %v", r)
			status = exitUnknown
		}
	}()
	f.trouble = os.Getenv("TROUBLE") != "0"
	f.record("disruption: %v", f.trouble)
	if run(f) {
		f.record("RESULT: the rule was broken")
		return exitBroken
	}
	f.record("RESULT: the rule held")
	return exitHeld
}
