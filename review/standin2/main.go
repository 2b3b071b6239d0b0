// Standin2 plays the cases of the second review: it starts real controllers as separate processes
// over loopback, with stand-ins for the state service, the cloud, the workers and the users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// longestCase is the time after which a case that has not ended could not run.
const longestCase = 118 * time.Second

// active is the cluster of the case, so that a signal or the time limit can end its processes.
var active atomic.Pointer[Cluster]

// abortLate ends the case with all its processes on a signal, or when it takes too long.
func abortLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestCase):
	}
	if c := active.Load(); c != nil {
		c.Stop()
		c.Record.Close()
	}
	fmt.Println("could not run: ended by a signal or the time limit")
	os.Exit(exitCannotRun)
}

// cases are the cases by their names.
var cases = map[string]func(trouble bool, record *Record) (broken []string, err error){
	"history": playHistory,
	"chaos":   playChaos,
	"tiny":    playTiny,
	"zone":    playZone,
	"copy":    playCopy,
	"hold":    playHold,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	go abortLate()
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, file string) int {
	record, err := NewRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[name](trouble, record)
	switch {
	case err != nil:
		record.Add("case", name, "could not run", err.Error())
		fmt.Println("could not run:", err)
		return exitCannotRun
	case len(broken) > 0:
		for _, rule := range broken {
			fmt.Println("broken:", rule)
		}
		return exitBroken
	}
	record.Add("case", name, "held", "")
	fmt.Println("held")
	return exitHeld
}
