package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run into the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var record *recorder

func openRecord(path string) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(2)
	}
	record = &recorder{file: file, start: time.Now()}
}

// note writes one line with the time since the start.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannotRun ends the program with the status that says that the case could not run.
func cannotRun(format string, args ...any) {
	if record != nil {
		note("cannot run: "+format, args...)
	}
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(2)
}

var (
	finishing sync.Once
	cleanups  []func()
)

// finish ends all processes that the program started, and then the program.
func finish(status int) {
	finishing.Do(func() {
		for _, cleanup := range slices.Backward(cleanups) {
			cleanup()
		}
		os.Exit(status)
	})
	select {}
}
