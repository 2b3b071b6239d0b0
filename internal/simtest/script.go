package simtest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Outcome is what became of a script.
type Outcome struct {
	Line   string   // at which it ended, if it did not reach the end
	Err    error    // what was not as the script or the calm after it wants it
	Broken []string // rules of the protocol
	Events []string // what happened, a line each
	Left   []string // what the state service holds of jobs that are not over
}

// Kind names what went wrong, in a word: a rule's name or that of a check
// after calm. It is empty if all was well.
func (o *Outcome) Kind() string {
	text := ""
	switch {
	case len(o.Broken) > 0:
		text = o.Broken[0]
	case o.Err != nil:
		text = o.Err.Error()
	}
	kind, _, _ := strings.Cut(text, ":")
	return kind
}

// String is the outcome with all that happened, for a person to read.
func (o *Outcome) String() string {
	var b strings.Builder
	if o.Err != nil {
		fmt.Fprintf(&b, "%q: %v\n", o.Line, o.Err)
	}
	if len(o.Broken) > 0 {
		fmt.Fprintf(&b, "rules broken: %v\n", o.Broken)
	}
	b.WriteString(strings.Join(o.Events, "\n"))
	b.WriteString("\n" + strings.Join(o.Left, "\n"))
	return b.String()
}

// Play runs a script: lines of a time, an actor and what it does or what must
// be so by then; what follows a # is a comment. It is called in a test bubble,
// whose clock is the script's.
func Play(script string, seed uint64) *Outcome { return playWatched(script, seed, nil) }

// playWatched plays a script while something looks on.
func playWatched(script string, seed uint64, watch func(*cluster)) *Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCluster(ctx, seed, controllersOf(script))
	defer func() {
		for _, name := range c.live() {
			c.kill(name)
		}
		c.users.Wait()
		cancel()
		time.Sleep(time.Minute) // the bubble's goroutines see the end
	}()
	out := &Outcome{}
	began := c.began
	for _, line := range cut(script) {
		// What controllers are given is so from the first moment on, before they start.
		if f := strings.Fields(line); len(f) > 2 && f[0] == "0s" && (f[1] == "team" || f[1] == "allot" || f[1] == "announce") {
			if out.Err = c.given(f[1:]); out.Err != nil {
				out.Line = line
				return out
			}
		}
	}
	go c.watchHeld()
	if watch != nil {
		go watch(c)
	}
	for _, name := range c.names {
		if out.Err = c.start(name); out.Err != nil {
			return out
		}
	}
	for num, line := range strings.Split(script, "\n") {
		text, _, _ := strings.Cut(line, "#")
		f := strings.Fields(text)
		if len(f) == 0 {
			continue
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || len(f) < 2 {
			out.Line, out.Err = line, fmt.Errorf("script: line %d is not a time and a step", num+1)
			break
		}
		if wait := at - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		err = c.step(f[1:])
		if err == nil {
			err = c.recount()
		}
		c.mu.Lock()
		if err == nil {
			err = c.fault
		}
		c.mu.Unlock()
		if err != nil {
			if why, bad := strings.CutPrefix(err.Error(), "script: "); bad {
				err = fmt.Errorf("script: line %d: %s", num+1, why)
			}
			out.Line, out.Err = line, err
			break
		}
	}
	out.Broken, out.Events = c.w.Broken(), c.w.Events()
	if stored := c.records(); out.Kind() != "" {
		for _, key := range slices.Sorted(maps.Keys(stored)) {
			if !strings.HasPrefix(key, records.MachinePrefix) && !strings.HasPrefix(key, records.ImagePrefix) && !strings.Contains(string(stored[key]), `"x":`) {
				out.Left = append(out.Left, key+" "+string(stored[key]))
			}
		}
	}
	return out
}

// controllersOf reads how many controllers a script wants: its first line may
// say "0s controllers 5".
func controllersOf(script string) int {
	for _, line := range cut(script) {
		f := strings.Fields(line)
		if len(f) >= 3 && f[1] == "controllers" {
			if n, err := strconv.Atoi(f[2]); err == nil && n > 0 && n <= 16 {
				return n
			}
		}
	}
	return usual
}

// after names what ends a thing that a line has begin.
var after = map[string]string{"kill": "start", "on": "off", "hang": "resume", "cut": "heal", "sick": "well", "slow": "well", "deaf": "hears", "mute": "speaks"}

// step carries out one line. One that ends in "for 5s" also has what it begins
// end by itself, so that a shrunk script keeps the two together.
func (c *cluster) step(f []string) error {
	if k := len(f) - 2; k > 0 && f[k] == "for" && f[0] != "polls" && f[0] != "stream" {
		last, err := time.ParseDuration(f[k+1])
		if err != nil {
			return fmt.Errorf("script: %w", err)
		}
		begin, end := slices.Clone(f[:k]), slices.Clone(f[:k])
		if ref, ok := strings.CutPrefix(begin[min(1, k-1)], "@"); ok {
			host := strings.TrimPrefix(c.w.HostOf(ref), "vm-") // both are of the same machine
			begin[1], end[1] = host, host
		}
		for i, word := range begin {
			if after[word] != "" && (i == 0 || i == k-1) {
				end[i] = after[word]
			}
		}
		if slices.Equal(begin, end) {
			return fmt.Errorf("script: nothing ends %q", strings.Join(begin, " "))
		}
		if err := c.step(begin); err != nil {
			return err
		}
		// After what the script does at that instant, and one end after the other.
		c.endings++
		last += time.Duration(c.endings) * 23 * time.Nanosecond
		c.users.Go(func() {
			if time.Sleep(last); c.ctx.Err() == nil {
				if err := c.step(end); err != nil {
					c.fail(err)
				}
			}
		})
		return nil
	}
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	each := func(do func(string) error) error {
		for _, name := range c.names {
			if arg(1) == name || arg(1) == "all" {
				if err := do(name); err != nil {
					return err
				}
			}
		}
		return nil
	}
	switch f[0] {
	case "older": // older NODE on|off: it answers others as versions did that don't say what they took
		return each(func(name string) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.older[name] = arg(2) == "on"
			return nil
		})
	case "machines": // machines COUNT ZONE [TYPE [cheap]]
		n, _ := strconv.Atoi(arg(1))
		typ := arg(3)
		if typ == "" {
			typ = c.w.Types[0].Name
		}
		c.w.AddMachinesOfType(n, typ, arg(2), arg(4) == "cheap")
	case "controllers": // controllers COUNT: see controllersOf
	case "hold": // hold TEAM: from now on its limit is what controllers were given last
		c.judge.Lock()
		t := c.teams[arg(1)]
		c.judge.Unlock()
		c.w.SetTeam(t)
	case "lower": // the state service's limits are those announced from now on
		return c.lower()
	case "team", "allot", "announce": // for controllers that start from now on
		if time.Since(c.began) > 0 {
			return c.given(f)
		}
	case "zone": // zone ZONE cut|heal
		c.w.SetFault("zone "+arg(1), arg(2) == "cut")
	case "freeze": // freeze NODE on|off, or all
		return each(func(name string) error { c.w.SetFault("freeze "+name, arg(2) == "on"); return nil })
	case "death": // death PERCENT [ZONE]: so many of the machines die at once
		percent, _ := strconv.Atoi(arg(1))
		hosts := c.w.Hosts(false)
		if arg(2) != "" {
			hosts = c.w.InZone(arg(2))
		}
		for _, host := range hosts[:(len(hosts)*percent+99)/100] {
			c.w.SetMachineFault(host, "die")
		}
	case "spare": // spare COUNT: what the cloud has left to rent
		n, _ := strconv.Atoi(arg(1))
		c.w.SetSpare(n)
	case "submit": // submit NODE REF shape tasks=N key=value
		j, want, err := job(f[2:])
		if err != nil {
			return err
		}
		if got := c.w.Submit(arg(1), j); got != want {
			return fmt.Errorf("answered %d, wanted %d", got, want)
		}
	case "abort": // abort NODE REF
		if got := c.w.Cancel(arg(1), arg(2)); got != 200 {
			return fmt.Errorf("answered %d", got)
		}
	case "user": // user NODE submit|abort|poll REF ...: not waited for, repeated as users do
		return c.user(arg(1), arg(2), f[3:])
	case "kill":
		return each(func(name string) error { c.kill(name); return nil })
	case "start":
		return each(c.start)
	case "outage":
		c.w.SetFault("outage", arg(1) == "on")
	case "refuse":
		c.w.SetFault("refuse "+arg(1), arg(2) == "on")
	case "deafen":
		c.w.SetFault("deaf "+arg(1), arg(2) == "on")
	case "trouble": // trouble NAME [NODE] on|off
		if name, how := strings.Join(f[1:max(1, len(f)-1)], " "), f[len(f)-1]; !emulator.IsFault(name, append(slices.Clone(c.names), "a", "b")) || (how != "on" && how != "off") {
			return fmt.Errorf("script: trouble NAME [NODE] on|off, not %q %q", name, how)
		}
		c.w.SetFault(strings.Join(f[1:len(f)-1], " "), f[len(f)-1] == "on")
	case "calloff": // calloff COUNT [hang TIME]: of jobs that run; up to eight of their machines hang so long
		return c.callOff(f[1:])
	case "vm": // vm HOST hang|resume|cut|heal|sick|slow|well|deaf|hears|mute|speaks|notice|take|die|reboot
		if !emulator.IsMachineFault(arg(2)) {
			return fmt.Errorf("script: a machine does not %q", arg(2))
		}
		host := "vm-" + arg(1)
		if ref, ok := strings.CutPrefix(arg(1), "@"); ok { // @REF: the machine of a task of the job's
			host = c.w.HostOf(ref)
		}
		c.w.SetMachineFault(host, arg(2))
	case "reboot": // reboot PERCENT: so many of the machines begin again at once
		percent, _ := strconv.Atoi(arg(1))
		hosts := c.w.Hosts(false)
		for _, host := range hosts[:(len(hosts)*percent+99)/100] {
			c.w.SetMachineFault(host, "reboot")
		}
	case "stream": // stream COUNT for TIME: so many jobs of one task a second, a quarter of them cancelled
		return c.stream(f[1:])
	case "polls": // polls COUNT for TIME: so many questions a second, of jobs known and unknown, at all nodes
		return c.polls(f[1:])
	case "wave": // wave notice|take: the cloud wants its cheap machines back
		for _, host := range c.w.Hosts(true) {
			c.w.SetMachineFault(host, arg(1))
		}
	case "calm":
		return c.calm()
	case "expect":
		return c.expect(f[1:])
	default:
		return fmt.Errorf("script: unknown step %q", f[0])
	}
	return nil
}

// callOff has jobs that run cancelled at once, and machines of theirs hang.
func (c *cluster) callOff(f []string) error {
	count, last, err := 0, time.Duration(0), error(nil)
	switch {
	case len(f) == 3 && f[1] == "hang":
		if last, err = time.ParseDuration(f[2]); err != nil {
			return fmt.Errorf("script: calloff COUNT [hang TIME]: %w", err)
		}
		fallthrough
	case len(f) == 1:
		count, err = strconv.Atoi(f[0])
	}
	if err != nil || count < 1 {
		return fmt.Errorf("script: calloff COUNT [hang TIME], not %q", strings.Join(f, " "))
	}
	_, hosts := c.w.CancelRunning(count)
	for _, host := range hosts {
		if last == 0 {
			break
		}
		if err := c.step([]string{"vm", strings.TrimPrefix(host, "vm-"), "hang", "for", last.String()}); err != nil {
			return err
		}
	}
	return nil
}

// user has a user do something. Users begin one after the other: of two that asked the
// same node at the same instant nobody could repeat who was first.
func (c *cluster) user(node, what string, f []string) error {
	defer time.Sleep(time.Nanosecond)
	switch what {
	case "submit":
		j, _, err := job(f)
		if err != nil {
			return err
		}
		c.users.Go(func() { c.w.RequestUntilAnswered(node, func(node string) int { return c.w.Submit(node, j) }) })
	case "abort":
		c.users.Go(func() { c.w.RequestUntilAnswered(node, func(node string) int { return c.w.Cancel(node, f[0]) }) })
	case "poll":
		c.users.Go(func() { c.w.Query(node, f[0]) })
	default:
		return fmt.Errorf("script: users do not %q", what)
	}
	return nil
}

// job reads REF SHAPE key=value ... and the status that its submission should
// get.
func job(f []string) (*emulator.Job, int, error) {
	shapes := map[string]protocol.Shape{"array": protocol.ShapeArray, "gang": protocol.ShapeGang, "service": protocol.ShapeService}
	if len(f) < 2 || shapes[f[1]] == "" {
		return nil, 0, fmt.Errorf("script: no job in %v", f)
	}
	j := &emulator.Job{Spec: protocol.Submission{JobID: f[0], Class: f[1], Team: "open", Shape: shapes[f[1]], PriorityClass: "normal", Tasks: 1,
		CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}}
	want := 201
	for _, kv := range f[2:] {
		key, value, _ := strings.Cut(kv, "=")
		n, _ := strconv.ParseFloat(value, 64)
		switch key {
		case "tasks":
			j.Spec.Tasks = int(n)
		case "cpus":
			j.Spec.CPUs = n
		case "cards":
			j.Spec.GPUs = n
		case "run":
			j.Run = protocol.Seconds(n)
			j.Spec.RunEstimateS = n
		case "saves": // every so many seconds
			j.Spec.CheckpointIntervalS, j.Spec.CheckpointS = n, 2
		case "due":
			j.Spec.DeadlineS = &n
		case "rank":
			j.Spec.PriorityClass = value
		case "team":
			j.Spec.Team = value
		case "zone":
			j.Spec.Zone = value
		case "spread":
			j.Spec.SpreadZones = true
		case "samezone":
			j.Spec.SameZone = true
		case "cheap":
			j.Spec.AllowSpot = true
		case "fails":
			j.Fail = true
		case "class":
			j.Spec.Class = value
		case "image":
			j.Spec.Image = value
		case "fetch":
			j.Fetch = protocol.Seconds(n)
		case "needs":
			j.Spec.Dependencies = strings.Split(value, ",")
		case "answer":
			want = int(n)
		default:
			return nil, 0, fmt.Errorf("script: unknown key %q", key)
		}
	}
	return j, want, nil
}

// cut splits a script into its lines, without comments and empty ones.
func cut(script string) []string {
	return slices.DeleteFunc(strings.Split(script, "\n"), func(line string) bool {
		line, _, _ = strings.Cut(line, "#")
		return strings.TrimSpace(line) == ""
	})
}
