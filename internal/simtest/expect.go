package simtest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// expect checks what a line says must be so: REF done|cancelled|unknown from
// every live node that answers (at least one must), REF running N, busy N (at least
// so many tasks run), served PERCENT, team NAME LEAST MOST (CPUs that it uses), or returned N machines so far.
func (c *cluster) expect(f []string) error {
	if len(f) < 2 {
		return fmt.Errorf("script: expect what?")
	}
	if f[1] == "running" {
		n, _ := strconv.Atoi(f[2])
		if got := c.w.Running(f[0]); got != n {
			return fmt.Errorf("%d tasks run", got)
		}
		return nil
	}
	if f[0] == "team" && len(f) == 4 { // team NAME from..upto CPUs
		var low, high float64
		if _, err := fmt.Sscanf(f[2]+" "+f[3], "%g %g", &low, &high); err != nil {
			return fmt.Errorf("script: expect team NAME LEAST MOST: %w", err)
		}
		if got := c.w.TeamUse()[f[1]].CPUs; got < low || got > high {
			return fmt.Errorf("team %s uses %v CPUs", f[1], got)
		}
		return nil
	}
	if f[0] == "happened" { // happened LEAST WORDS: so many events have these words
		least, err := strconv.Atoi(f[1])
		words := strings.Join(f[2:], " ")
		if err != nil || words == "" {
			return fmt.Errorf("script: expect happened LEAST WORDS, not %q", strings.Join(f, " "))
		}
		got := 0
		for _, line := range c.w.Events() {
			if strings.Contains(line, words) {
				got++
			}
		}
		if got < least {
			return fmt.Errorf("%d times %q", got, words)
		}
		return nil
	}
	if f[0] == "oversize" { // oversize MOST: so often a transaction with the same first key was refused for its size
		most, err := strconv.Atoi(f[1])
		if err != nil {
			return fmt.Errorf("script: expect oversize MOST: %w", err)
		}
		refused := c.w.State.RefusedForSize()
		for _, key := range slices.Sorted(maps.Keys(refused)) {
			if times := refused[key]; times > most {
				return fmt.Errorf("%s was refused %d times for its size", key, times)
			}
		}
		return nil
	}
	if f[0] == "large" { // large LEAST: so many records are larger than the announced limit
		least, err := strconv.Atoi(f[1])
		if err != nil {
			return fmt.Errorf("script: expect large LEAST: %w", err)
		}
		large := 0
		for _, value := range c.records() {
			if len(value) > c.next.MaxValueBytes {
				large++
			}
		}
		if large < least {
			return fmt.Errorf("%d records are larger than %d bytes", large, c.next.MaxValueBytes)
		}
		return nil
	}
	if f[0] == "vain" { // vain MOST: starts after a confirmed cancellation
		most, err := strconv.Atoi(f[1])
		if err != nil {
			return fmt.Errorf("script: expect vain MOST: %w", err)
		}
		if got := c.w.WastedStarts(); got > most {
			return fmt.Errorf("%d tasks started after their cancellation was confirmed", got)
		}
		return nil
	}
	if f[0] == "served" { // served PERCENT: at least so much of every class and team
		least, _ := strconv.Atoi(f[1])
		return c.everyServed(float64(least) / 100)
	}
	if f[0] == "busy" {
		n, _ := strconv.Atoi(f[1])
		if got := c.w.Running(""); got < n {
			return fmt.Errorf("%d tasks run", got)
		}
		return nil
	}
	if f[0] == "returned" {
		n, _ := strconv.Atoi(f[1])
		got := 0
		for _, line := range c.w.Events() {
			if strings.HasSuffix(line, " returned") {
				got++
			}
		}
		if got != n {
			return fmt.Errorf("%d machines were returned", got)
		}
		return nil
	}
	answers := 0
	for _, name := range c.live() {
		status, a := c.w.Query(name, f[0])
		switch {
		case f[1] == "unknown" && status == 404, status == 200 && a.Phase == f[1]:
			answers++
		case status == 503 || status == 0:
		default:
			return fmt.Errorf("%s answers %d %s", name, status, a.Phase)
		}
	}
	if answers == 0 && f[1] != "unanswered" {
		return fmt.Errorf("nobody answers")
	}
	return nil
}
