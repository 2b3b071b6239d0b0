package loadtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// Result is what a measurement came to, over its measured time.
type Result struct {
	Workers, Controllers int
	Seconds              float64
	UpWorkers            int     // that reported when the measurement began
	Running              int     // tasks at its end
	Starts               float64 // a second
	Wanted               float64 // a second
	Changes, Requests    float64 // of the state service, a second
	ChangesPerStart      float64
	StateInKB            float64   // a second, to the state service
	StateOutKB           float64   // from it
	Refused              float64   // transactions refused by a condition, a second
	WorkerOutKB          float64   // a second and worker, its reports
	WorkerInKB           float64   // answers and direct commands
	Reports, Commands    float64   // a second
	CPU                  []float64 // cores, by controller
	RSSMB                []float64
	Sockets              []int
	UrgentP50, UrgentP95 float64 // seconds from the acceptance to the start
	UrgentMax            float64
	Urgent, UrgentBegun  int
	Submitted, Accepted  int64
	NotReached           []string // what the configuration asked for and the machine did not give
}

type run struct {
	cfg   *Config
	l     *emulator.Loopback
	w     *emulator.World
	all   []*controller
	says  io.Writer
	dir   string
	rng   *rand.Rand
	refs  atomic.Int64
	begun atomic.Int64 // tasks

	submitted, accepted atomic.Int64

	mu     sync.Mutex
	urgent *hdrhistogram.Histogram // milliseconds
	asked  map[string]bool         // urgent jobs that were accepted, and whether they began
}

// Measure runs one measurement. Progress goes to says; files of the controllers to dir.
func Measure(ctx context.Context, cfg *Config, dir string, says io.Writer) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{cfg: cfg, says: says, dir: dir, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		urgent: hdrhistogram.New(1, 600_000, 3), asked: make(map[string]bool)}
	if err := r.open(ctx); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// open makes the world and starts the controllers.
func (r *run) open(ctx context.Context) error {
	s := protocol.WorkerSettings{HeartbeatInterval: seconds(r.cfg.ReportS), LeaseDuration: seconds(r.cfg.LeaseS), GangStartTimeout: 50 * time.Second, GangPeerTimeout: 8 * time.Second, CancelDeadline: 47 * time.Second}
	r.w = emulator.NewWorld(ctx, r.cfg.Seed, s, map[string]protocol.Team{"open": {Name: "open"}})
	r.w.RecordStartsOnly = true
	r.w.OnStart(r.started)
	r.w.ListLag = 3 * time.Second
	r.w.Types = []protocol.MachineType{{Name: "m", CPUs: float64(r.cfg.Load.TasksOnEach), MemoryGB: float64(4 * r.cfg.Load.TasksOnEach), ImageCacheGB: 50, ImagePullGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: zones}}
	r.w.State.SetRateLimits(r.cfg.State.RPS, r.cfg.State.WriteRPS)
	r.w.State.SetSizeLimits(emulator.SizeLimits{ValueBytes: int(r.cfg.State.ValueKB * 1024), Changes: r.cfg.State.TxnOps})
	var err error
	if r.l, err = emulator.NewLoopback(ctx, r.w); err != nil {
		return err
	}
	if r.all, err = place(r.cfg.Controllers); err != nil {
		return err
	}
	for _, c := range r.all {
		if err := c.write(r.dir, r.cfg, r.all, r.l); err != nil {
			return err
		}
		if err := c.start(ctx, r.cfg.Program); err != nil {
			return err
		}
		r.w.SetZone(c.name, "")
		r.l.AddNode(c.name, c.public)
	}
	return nil
}

func (r *run) close() {
	for _, c := range r.all {
		c.end()
	}
	r.l.Close()
}

// warmUp waits until the controllers are ready and adds the workers, some at a time.
func (r *run) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(seconds(r.cfg.WarmupS))
	for _, c := range r.all {
		for !ready(c.public) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("controller %s is not ready within %g s, see %s", c.name, r.cfg.WarmupS, c.settings)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	const batch = 100
	for left := r.cfg.Workers; left > 0 && ctx.Err() == nil; left -= batch {
		r.w.AddMachinesOfType(min(left, batch), "m", zones[left/batch%len(zones)], false)
		time.Sleep(20 * time.Millisecond)
	}
	go r.load(ctx)
	go r.tidy(ctx)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		r.say("warming up")
		time.Sleep(min(5*time.Second, time.Until(deadline)))
	}
	return ctx.Err()
}

func ready(addr string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) say(what string) {
	changes := r.w.State.Counts().Changes
	fmt.Fprintf(r.says, "%s: %d tasks begun, %d running, %d changes of state, %d of %d jobs accepted\n", what, r.begun.Load(), r.w.RunningTasks(), changes, r.accepted.Load(), r.submitted.Load())
}

// started is told of each task that begins, under the world's lock.
func (r *run) started(ref string, since time.Duration) {
	r.begun.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun, urgent := r.asked[ref]; urgent && !begun {
		r.asked[ref] = true
		_ = r.urgent.RecordValue(max(1, since.Milliseconds()))
	}
}

// tidy keeps the world's memory bounded.
func (r *run) tidy(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Second)
		r.w.Forget()
	}
}

// load submits jobs, evenly in time, to controllers by turns.
func (r *run) load(ctx context.Context) {
	slots := make(chan struct{}, r.cfg.Load.MostInFlight)
	submit := func(j *emulator.Job, urgent bool) {
		select {
		case slots <- struct{}{}:
		default:
			return // the machine does not keep up; Submitted tells
		}
		go func() {
			defer func() { <-slots }()
			r.submitted.Add(1)
			node := r.all[int(r.submitted.Load())%len(r.all)].name
			if urgent {
				r.mu.Lock()
				r.asked[j.Spec.JobID] = false
				r.mu.Unlock()
			}
			if status := r.w.RequestUntilAnswered(node, func(node string) int { return r.w.Submit(node, j) }); status == 201 || status == 200 {
				r.accepted.Add(1)
				if urgent {
					time.Sleep(seconds(r.cfg.Load.RunS))
					r.w.RequestUntilAnswered(node, func(node string) int { return r.w.Cancel(node, j.Spec.JobID) })
				}
			}
		}()
	}
	every := func(rate float64, make func() *emulator.Job, urgent bool) {
		if rate <= 0 {
			return
		}
		gap := time.Duration(float64(time.Second) / rate)
		for next := time.Now(); ctx.Err() == nil; next = next.Add(gap) {
			time.Sleep(time.Until(next))
			submit(make(), urgent)
		}
	}
	go every(r.cfg.Load.StartsPerS/float64(r.cfg.Load.ArrayTasks), r.array, false)
	go every(r.cfg.Load.UrgentPerS, r.service, true)
}

func (r *run) array() *emulator.Job {
	j := r.job("array", protocol.ShapeArray, "normal", r.cfg.Load.ArrayTasks)
	j.Run, j.Spec.RunEstimateS = seconds(r.cfg.Load.RunS), r.cfg.Load.RunS
	return j
}

func (r *run) service() *emulator.Job { return r.job("urgent", protocol.ShapeService, "critical", 1) }

func (r *run) job(class string, shape protocol.Shape, rank string, tasks int) *emulator.Job {
	return &emulator.Job{Spec: protocol.Submission{JobID: fmt.Sprintf("wk-%06d", r.refs.Add(1)), Class: class, Team: "open", Shape: shape, PriorityClass: rank, Tasks: tasks,
		CPUs: 1, MemoryGB: 2, Image: "img-1", ImageGB: 1}}
}

// measure takes the figures of the measured time, with the troubles in it.
func (r *run) measure(ctx context.Context) (*Result, error) {
	began := r.now()
	for _, t := range r.cfg.Troubles {
		go r.trouble(ctx, t)
	}
	end := time.Now().Add(seconds(r.cfg.MeasureS))
	for time.Now().Before(end) && ctx.Err() == nil {
		r.say("measuring")
		time.Sleep(min(10*time.Second, time.Until(end)))
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.result(began, r.now()), nil
}

// trouble has something go wrong, and end.
func (r *run) trouble(ctx context.Context, t Trouble) {
	time.Sleep(seconds(t.AtS))
	fmt.Fprintf(r.says, "trouble: %s\n", t.Kind)
	switch t.Kind {
	case "slow":
		r.w.SetFault("slow", true)
		time.Sleep(seconds(t.ForS))
		r.w.SetFault("slow", false)
	case "reboot":
		hosts := r.w.Hosts(false)
		for _, host := range hosts[:int(t.Part*float64(len(hosts)))] {
			r.w.SetMachineFault(host, "reboot")
		}
	case "crash":
		c := r.all[r.rng.IntN(len(r.all))]
		c.end()
		time.Sleep(seconds(t.ForS))
		if ctx.Err() == nil {
			if err := c.start(ctx, r.cfg.Program); err != nil {
				fmt.Fprintln(os.Stderr, "restart of", c.name+":", err)
			}
		}
	}
}
