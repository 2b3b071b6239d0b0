package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// applyFault takes the troubles of this file.
func (w *World) applyFault(name string, on bool) {
	what, which, _ := strings.Cut(name, " ")
	switch what {
	case "freeze":
		w.setPaused(which, on)
	case "zone":
		if !on {
			w.healZone(which)
		}
	}
}

// FaultyMachines lists the troubles that are on, in order.
func (w *World) FaultyMachines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(w.activeFaults)), func(name string) bool { return !w.activeFaults[name] })
}

// SetFault begins or ends a trouble that has no host:
//
//	outage         the state service is down
//	slow           the state service takes up to 2.5 s for an answer
//	lossy          its answers get lost, and transactions are applied late or twice
//	late writes    two in five transactions get no answer and are carried out 2 to 12 s
//	               later, after newer ones
//	unanswered writes  two in five transactions are carried out at once, and only their
//	               answer is lost
//	reports for next   copies of two in five of the workers' reports are kept, and reach
//	               every controller as a shard gets a new token
//	close looks    users ask at all nodes within milliseconds, and repeat the submission,
//	               when a job was accepted, has ended or was cancelled
//	hasty users    of those that look closely at an acceptance some cancel at once
//	cancel at end  two in five of the jobs that end are cancelled at that moment
//	odd requests   users repeat submissions, cancel what is done, send what can't run
//	late reports   of two in five of the workers' reports a copy arrives again, from 2 s
//	               to well over a lease later
//	swallow        every transaction is carried out and no answer arrives
//	refuse NODE    the state service refuses one node alone
//	severed NODE   a node loses the state service and the other controllers, not its
//	               workers and users
//	deaf NODE      a node reaches no worker and hears none
//	freeze NODE    a node stands still while clocks run on
//	zone ZONE      a zone is cut off from everything; what is sent across is held and
//	               arrives afterwards
//	alone NODE     the other controllers reach a node as little as it reaches them
//	cloud          the cloud is in trouble and answers 503
//	stingy         the cloud has no machines
//	half           the cloud gives half of the machines asked for
//	slow boots     most of the machines rented take five times as long to come up
//	no boots       none of the machines rented ever comes up
//	fast boots     all are up within a second
//	lost           answers of the cloud get lost, and some requests are carried out late
func (w *World) SetFault(name string, on bool) {
	w.mu.Lock()
	was := w.activeFaults[name]
	w.activeFaults[name] = on
	w.recordEvent("%s %v", name, on)
	if was != on {
		w.applyFault(name, on)
	}
	w.mu.Unlock()
	if name == "outage" {
		w.State.setOutage(on)
	}
}

// faultNames are the names that Trouble knows; those that end in a space want one more
// word, a controller's or a zone's name.
var faultNames = []string{"outage", "slow", "lossy", "late writes", "unanswered writes", "late reports", "reports for next",

	"close looks", "hasty users", "cancel at end", "odd requests", "swallow", "refuse ", "severed ", "deaf ", "freeze ", "zone ", "alone ",
	"cloud", "stingy", "half", "slow boots", "no boots", "fast boots", "lost"}

// IsFault tells whether Trouble knows a name, and what it may have for its second word.
func IsFault(name string, second []string) bool {
	return slices.ContainsFunc(faultNames, func(known string) bool {
		rest, found := strings.CutPrefix(name, known)
		return found && (rest == "" && !strings.HasSuffix(known, " ") || strings.HasSuffix(known, " ") && slices.Contains(second, rest))
	})
}

// EndFaults ends all troubles and leaves the cloud at least so many machines to rent.
func (w *World) EndFaults(spare int) {
	w.mu.Lock()
	w.spareMachines, w.faultsEndedAt = max(w.spareMachines, spare), time.Now()
	troubles := slices.Sorted(maps.Keys(w.activeFaults))
	hosts := slices.Sorted(maps.Keys(w.machines))
	w.mu.Unlock()
	for _, name := range troubles {
		w.SetFault(name, false)
	}
	for _, host := range hosts {
		for _, what := range []string{"resume", "heal", "well", "hears", "speaks"} {
			w.Set(host, what)
		}
	}
}
