// Command standin plays the platform, the workers and the users of a small deployment against
// real controller processes on loopback addresses, for the cases of the review. Its exit status
// is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool) bool{
	"outage-with-queue":    outageWithQueue,
	"restart-with-history": restartWithHistory,
	"lowered-limits":       loweredLimits,
	"late-answers":         lateAnswers,
	"late-answers-short":   lateAnswersShort,
	"late-answers-random":  lateAnswersRandom,
	"chaos":                chaos,
}

func main() {
	name := flag.String("case", "", "the case to play")
	file := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	openRecord(*file)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("ended by a signal")
	}()
	go func() {
		if *name == "chaos" || os.Getenv("ROLL") == "1" {
			return
		}
		time.Sleep(115 * time.Second)
		cannotRun("not over after 115 s")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", *name, trouble)
	if held := play(trouble); !held {
		finish(1)
	}
	finish(0)
}
