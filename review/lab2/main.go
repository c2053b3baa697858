// Command rig plays the cases of this review: it starts the controllers of the repository as processes, with stand-ins
// for the state service, the cloud, the workers and the users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A case plays its events on a deployment and returns how the rule was broken, or "" if it held.
type caseFunc func(r *rig, trouble bool) string

type caseEntry struct {
	settings func() *settings
	play     caseFunc
}

var cases = map[string]caseEntry{
	"one-failure":  {tipshare, playOneFailure},
	"two-failures": {tipshare, playTwoFailures},
	"zone-rule":    {kingston, playZoneRule},
	"scavenger":    {tipshare, playScavenger},
	"held-back":    {tipshare, playHeldBack},
	"drain-crash":  {drained, playDrainCrash},
	"zone-large":   {kingston, playZoneLarge},
	"soak":         {soakSettings, playSoak},
}

const longest = 118 * time.Second

var soakLongest = 400 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	entry := cases[os.Args[1]]
	r := newRig(filepath.Join(os.Args[2], "record.txt"), entry.settings())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			fail("interrupted")
		case <-time.After(limitOf(os.Args[1])):
			fail("it took longer than %v", longest)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.event("case %s, with the disruption: %v", os.Args[1], trouble)
	if os.Getenv("LINKS") != "" {
		r.addLinks()
	}
	r.startAll()
	broken := entry.play(r, trouble)
	if broken != "" {
		r.event("BROKEN: %s", broken)
		fmt.Println("broken: " + broken)
		r.close()
		os.Exit(1)
	}
	r.event("held")
	fmt.Println("held")
	r.close()
}

func limitOf(name string) time.Duration {
	if name == "soak" {
		return soakLongest
	}
	return longest + longestWait - defaultWait
}
