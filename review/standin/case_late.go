package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Numbers of the case late-answers. The rates, zones, intervals, machine types and sizes of jobs
// are those of the site lindenau-umzug-next.
const (
	lateMachines = 14
	// longestLate is the most by which an answer of the state service is late. A controller waits
	// 2 s for the answer to a transaction.
	longestLate = 1800 * time.Millisecond
	// lateRounds is how many pipelines are played at most. Idle machines are returned some time
	// after the start, so that there are not many.
	lateRounds = 2
)

// lateAnswers plays a pipeline of two arrays: the first one ends just after the second one was
// submitted. Three answers of the state service are late: the one to the controller that accepts
// the second job, the one to the controller that releases it, and a watch of the third one.
func lateAnswers(trouble bool) bool {
	w, late := newLateWorld()
	second := submission{Jobclass: "adressen", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 20, CPUs: 1, MemGb: 3.2, Bundle: "img-2", SizeGb: 1, ExpectS: 25, Loaner: true}
	// The answer to the acceptance comes after the release, those to the release and the watch
	// after the next change of the record, if there is one.
	late.holds = map[int]hold{1: {until: 2, more: 250 * time.Millisecond}, 2: {until: 3, more: 300 * time.Millisecond}}
	late.watchUntil = 3
	for i := range lateRounds {
		w.playPipeline(i, late, trouble, second, 25*time.Second)
		for over := time.Now().Add(8 * time.Second); time.Now().Before(over) && len(w.violations()) == 0; time.Sleep(100 * time.Millisecond) {
		}
		late.end()
		if twice := w.violations(); len(twice) > 0 {
			time.Sleep(time.Second)
			say("RULE ran_twice: %s (and %d more)", twice[0], len(w.violations())-1)
			return false
		}
	}
	say("held: no task started on a machine while it was on another, in %d pipelines", lateRounds)
	return true
}

// lateAnswersShort is lateAnswers with a second job that is over before the first of the late
// answers comes.
func lateAnswersShort(trouble bool) bool {
	w, late := newLateWorld()
	second := submission{Jobclass: "halteverbot", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 1, CPUs: 1, MemGb: 3.2, Bundle: "img-1", SizeGb: 1, ExpectS: 1}
	late.holds = map[int]hold{1: {until: 3, more: 200 * time.Millisecond}, 3: {until: 0, more: 300 * time.Millisecond}}
	for i := range lateRounds {
		ref := w.playPipeline(i, late, trouble, second, 50*time.Millisecond)
		told := ""
		for over := time.Now().Add(5 * time.Second); time.Now().Before(over); time.Sleep(25 * time.Millisecond) {
			for _, c := range w.controllers {
				status, a := w.poll(c, ref)
				note("user -> %s: GET /submissions/%s: %d %s", c.name, ref, status, a.Phase)
				switch {
				case status == 200 && a.Phase == "done" && told == "":
					told = c.name
				case status == 200 && a.Phase != "done" && told != "":
					say("RULE went_back: %s called %s done, then %s called it %s", told, ref, c.name, a.Phase)
					time.Sleep(4 * time.Second)
					return false
				}
			}
		}
		late.end()
	}
	say("held: no job that was called done was called something else, in %d pipelines", lateRounds)
	return true
}

func newLateWorld() (*world, *lateness) {
	const north, south, region = "halle-nord", "halle-sued", "region"
	w := newWorld(timing{report: 5 * time.Second, lease: 27 * time.Second, gangWait: 50 * time.Second, gangPeer: 8 * time.Second, cancel: 47 * time.Second})
	w.addNodes(north, south, north)
	w.state = newStateService(stateLimits{rps: 120, writeRPS: 30, valueBytes: 8 << 10, txnOps: 12})
	late := &lateness{}
	w.state.delayOf = late.of
	small := &flavour{Label: "klein-rack", CPUs: 16, MemGb: 64, CacheGb: 70, PullGbPerS: 0.6, Hourly: 1.11, MarketPrice: 0.48, BootS: 35, Halls: []string{north, south}}
	w.cloud = &cloud{world: w, flavours: []*flavour{small}, listLag: 5 * time.Second, capacity: lateMachines, hires: make(map[string][]string), requests: newBucket(8, 2)}
	for i, c := range w.controllers {
		g := w.link(c.zone, region)
		w.writeSettings(c, w.state.serve(i, g), w.cloud.serve(g), historyCluster)
	}
	for i := range lateMachines {
		w.cloud.add(small, []string{north, south}[i%2], false, 0)
	}
	w.startAll()
	waitFor("all machines have an owner", 20*time.Second, func() bool { return w.owned() == lateMachines })
	time.Sleep(2500 * time.Millisecond)
	return w, late
}

// owned counts the machines whose workers have got a token.
func (w *world) owned() (count int) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, m := range w.cloud.machines {
		if m.worker != nil {
			m.worker.mu.Lock()
			if m.worker.baton > 0 {
				count++
			}
			m.worker.mu.Unlock()
		}
	}
	return count
}

// playPipeline submits a job and, once it runs, a second one that awaits it; the first one ends
// just after the second one is stored. It returns the second one's name once it was accepted.
func (w *world) playPipeline(i int, late *lateness, trouble bool, second submission, run time.Duration) string {
	first := submission{Ref: fmt.Sprintf("wk-%06d", 2*i+1), Jobclass: "halteverbot", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 1, CPUs: 1, MemGb: 3.2, Bundle: "img-1", SizeGb: 1, ExpectS: 15, Loaner: true}
	second.Ref, second.Awaits = fmt.Sprintf("wk-%06d", 2*i+2), []string{first.Ref}
	if second.Bundle != first.Bundle {
		second.Bundle = fmt.Sprintf("img-%d", i+2) // no machine has it yet
	}
	// The second job is accepted by the controller to which the fewest workers report, and the
	// first one runs at the last of the others.
	reports := w.reports()
	accepting := 0
	for c := range reports {
		if reports[c] <= reports[accepting] {
			accepting = c
		}
	}
	owner := len(w.controllers) - 1
	if owner == accepting {
		owner--
	}
	third := len(w.controllers) - accepting - owner
	note("workers that report to each controller: %v", reports)
	if i == 0 {
		// An array that runs on at the first job's controller, so that its shard is not idle.
		other := submission{Ref: "wk-009999", Jobclass: "touren", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 1, CPUs: 2, MemGb: 4.6, Bundle: "img-1", SizeGb: 1, ExpectS: 25, Loaner: true}
		if _, ok := w.submit(w.controllers[owner], other, time.Hour); !ok {
			cannotRun("an array was not accepted")
		}
		waitFor("an array runs", 20*time.Second, func() bool { return w.hostOf(other.Ref+"/0") != "" })
	}
	if _, ok := w.submit(w.controllers[owner], first, time.Hour); !ok {
		cannotRun("the first job was not accepted")
	}
	waitFor("the first job runs", 20*time.Second, func() bool { return w.hostOf(first.Ref+"/0") != "" })
	time.Sleep(1500 * time.Millisecond)
	note("%s is submitted to slipnode-%d", second.Ref, accepting)
	stored := late.begin("madderslip/j/"+second.Ref, third, trouble)
	accepted := make(chan bool, 1)
	go func() {
		_, ok := w.submit(w.controllers[accepting], second, run)
		accepted <- ok
	}()
	<-stored
	time.Sleep(150 * time.Millisecond)
	w.endTask(first.Ref + "/0")
	if !<-accepted {
		cannotRun("the second job was not accepted")
	}
	return second.Ref
}

// reports counts the workers that report to each controller.
func (w *world) reports() []int {
	counts := make([]int, len(w.controllers))
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, m := range w.cloud.machines {
		if m.worker != nil && m.goneAt.IsZero() {
			m.worker.mu.Lock()
			counts[m.worker.node]++
			m.worker.mu.Unlock()
		}
	}
	return counts
}

// endTask completes a running task now.
func (w *world) endTask(task string) {
	k := w.cloud.workerOf(w.hostOf(task))
	if k == nil {
		cannotRun("%s is on no machine", task)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.tasks {
		if t.name == task && t.phase == "running" {
			k.exit(t, "done")
		}
	}
}

func (c *cloud) workerOf(host string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.ref == host {
			return m.worker
		}
	}
	return nil
}

// hold tells how late an answer is: until the record is changed for the given time, or until the
// answer to its first change is sent if until is 0, and some time more.
type hold struct {
	until int
	more  time.Duration
}

// lateness makes three answers of the state service late: those to two changes of one record,
// and that to a watch of one controller. Everything is carried out at once.
type lateness struct {
	holds      map[int]hold // by change of the record
	watchUntil int

	mu       sync.Mutex
	key      string // the record
	third    int    // the controller whose watch is answered late
	trouble  bool
	changes  int             // changes of the record so far
	changed  []chan struct{} // by change of the record: closed with it
	answered chan struct{}   // closed when the answer to the first change is sent
}

// begin begins the spell of late answers.
func (l *lateness) begin(key string, third int, trouble bool) (stored <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key, l.third, l.trouble, l.changes = key, third, trouble, 0
	l.changed, l.answered = nil, make(chan struct{})
	for range 4 {
		l.changed = append(l.changed, make(chan struct{}))
	}
	return l.changed[1]
}

func (l *lateness) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key = ""
}

// of is called when a call has been carried out. It waits for as long as the answer is late.
func (l *lateness) of(call stateCall) time.Duration {
	const usual = 6 * time.Millisecond
	change, answered, until := l.observe(call)
	if until == nil {
		return usual
	}
	what := fmt.Sprintf("change %d of the record", change)
	if change == 0 {
		what = "a watch"
	}
	began := time.Now()
	more := l.holds[change].more
	if change == 0 {
		more = 300 * time.Millisecond
	}
	select {
	case <-until:
		time.Sleep(min(more, time.Until(began.Add(longestLate))))
	case <-time.After(longestLate):
	}
	if change == 1 {
		close(answered)
	}
	note("TROUBLE: the answer to slipnode-%d about %s is %.3f s late", call.node, what, time.Since(began).Seconds())
	return 0
}

// observe returns which change of the record a call made, 0 if none, and until when its answer is
// late; nil if it is not late.
func (l *lateness) observe(call stateCall) (change int, answered, until chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.key == "" {
		return 0, nil, nil
	}
	if call.status == 200 && slices.Contains(call.writes, l.key) {
		l.changes++
		change = l.changes
		note("state: slipnode-%d makes change %d of %s: %s", call.node, change, strings.TrimPrefix(l.key, "madderslip/"), call.body)
		if change < len(l.changed) {
			close(l.changed[change])
		}
	}
	if !l.trouble {
		return change, nil, nil
	}
	if held, ok := l.holds[change]; ok {
		if held.until == 0 {
			return change, l.answered, l.answered
		}
		return change, l.answered, l.changed[held.until]
	}
	if l.changes > 0 && call.node == l.third && call.path == "/watch" && call.status == 200 {
		if l.watchUntil == 0 {
			until = l.answered
		} else {
			until = l.changed[l.watchUntil]
		}
		select {
		case <-until:
			until = nil
		default:
		}
	}
	return change, l.answered, until
}

// violations lists the violations of ran_twice so far.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ran)
}
