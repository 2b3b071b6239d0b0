package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run in a case.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates a record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add writes one line: the time since the start of the case, who, what and details.
func (r *Record) Add(who, what, how, details string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %-9s %-22s %s", time.Since(r.began).Seconds(), who, what, how)
	if details != "" {
		_, _ = fmt.Fprintf(r.out, "  %s", details)
	}
	_ = r.out.WriteByte('\n')
}

// Close writes out what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
