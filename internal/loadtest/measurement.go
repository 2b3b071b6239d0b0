package loadtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

// Intervals within a measurement.
const (
	readyPollInterval       = 200 * time.Millisecond
	warmUpProgressInterval  = 5 * time.Second  // between lines of progress
	measureProgressInterval = 10 * time.Second // between lines of progress
	dropInterval            = 10 * time.Second // between drops of finished jobs
)

// Workers are added in batches: starting all of them at once would be a load of its own and
// would distort the measurement.
const (
	workerBatchSize  = 100
	workerBatchPause = 20 * time.Millisecond
)

// machineTypeName is the name of the only machine type.
const machineTypeName = "m"

// maxUrgentWaitMs is the longest wait, in milliseconds, that the histogram is sized to record.
const maxUrgentWaitMs = 600_000

// measurement is the state of one measurement. The goroutines that it starts end with the
// context of Measure, which waits for them.
type measurement struct {
	cfg         *Config
	dir         string // directory of the controllers' settings and logs
	progress    io.Writer
	world       *emulator.World
	loopback    *emulator.Loopback
	controllers []*controller
	background  sync.WaitGroup

	lastJobNumber       atomic.Int64
	starts              atomic.Int64 // started tasks
	submitted, accepted atomic.Int64 // jobs

	mu          sync.Mutex              // guards the fields below; the world's lock is never acquired while mu is held, only before
	random      *rand.Rand              // chooses the controllers that crash
	urgentWaits *hdrhistogram.Histogram // waits of urgent jobs from acceptance to start, in milliseconds
	urgentJobs  map[string]bool         // by job ID: whether the job has started
}

// Measure runs one measurement. If the context ends, it returns early with the context's
// error or, while the controllers start, with that of a controller that is not ready. Lines
// of progress are written to progress, the controllers' settings and logs to the directory
// dir.
func Measure(ctx context.Context, cfg *Config, dir string, progress io.Writer) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &measurement{
		cfg:         cfg,
		dir:         dir,
		progress:    progress,
		random:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		urgentWaits: hdrhistogram.New(1, maxUrgentWaitMs, 3),
		urgentJobs:  make(map[string]bool),
	}
	defer m.close()
	defer m.background.Wait()
	defer cancel()
	if err := m.open(ctx); err != nil {
		return nil, err
	}
	if err := m.warmUp(ctx); err != nil {
		return nil, err
	}
	return m.measure(ctx)
}

// open creates the emulated world and starts the controllers.
func (m *measurement) open(ctx context.Context) error {
	m.world = m.newWorld(ctx)
	var err error
	if m.loopback, err = emulator.NewLoopback(ctx, m.world); err != nil {
		return err
	}
	if m.controllers, err = newControllers(m.cfg.Controllers); err != nil {
		return err
	}
	for _, c := range m.controllers {
		if err := c.writeSettings(m.dir, m.cfg, m.controllers, m.loopback); err != nil {
			return err
		}
		if err := c.start(ctx, m.cfg.Program); err != nil {
			return err
		}
		m.world.SetZone(c.name, "")
		m.loopback.AddController(c.name, c.publicAddr)
	}
	return nil
}

// newWorld creates the emulated state service and cloud. There are no workers yet.
func (m *measurement) newWorld(ctx context.Context) *emulator.World {
	teams := map[string]protocol.Team{team: {Name: team}}
	world := emulator.NewWorld(ctx, m.cfg.Seed, workerSettings(m.cfg), teams)
	world.RecordStartsOnly = true
	world.OnStart(m.recordStart)
	world.ListLag = cloudListLag
	world.Types = []protocol.MachineType{{
		Name:          machineTypeName,
		CPUs:          float64(m.cfg.Load.TasksPerWorker),
		MemoryGB:      float64(4 * m.cfg.Load.TasksPerWorker),
		ImageCacheGB:  50,
		ImagePullGBps: 1,
		Price:         1,
		SpotPrice:     0.4,
		BootS:         10,
		Zones:         zones,
	}}
	world.State.SetRateLimits(m.cfg.State.RPS, m.cfg.State.WriteRPS)
	world.State.SetSizeLimits(emulator.SizeLimits{
		ValueBytes: int(m.cfg.State.ValueKB * 1024),
		Changes:    m.cfg.State.TxnOps,
	})
	return world
}

// close kills the controllers and closes the world's listeners, as far as open has started
// them.
func (m *measurement) close() {
	for _, c := range m.controllers {
		c.kill()
	}
	if m.loopback != nil {
		m.loopback.Close()
	}
}

// warmUp waits until the controllers are ready, adds the workers, starts the load, and waits
// until the warm-up time is over.
func (m *measurement) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(protocol.Seconds(m.cfg.WarmupS))
	for _, c := range m.controllers {
		for !c.isReady() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("controller %s is not ready within %g s, see %s", c.name, m.cfg.WarmupS, c.settingsFile)
			}
			timing.Sleep(ctx, readyPollInterval)
		}
	}
	for remaining := m.cfg.Workers; remaining > 0 && ctx.Err() == nil; remaining -= workerBatchSize {
		zone := zones[remaining/workerBatchSize%len(zones)]
		m.world.AddMachinesOfType(min(remaining, workerBatchSize), machineTypeName, zone, false)
		timing.Sleep(ctx, workerBatchPause)
	}
	m.startLoad(ctx)
	m.background.Go(func() { m.dropFinishedJobs(ctx) })
	return m.writeProgressUntil(ctx, deadline, "warming up", warmUpProgressInterval)
}

// measure injects the faults and returns the result for the measured time.
func (m *measurement) measure(ctx context.Context) (*Result, error) {
	before := m.readCounters()
	for _, fault := range m.cfg.Faults {
		m.background.Go(func() { m.runFault(ctx, fault) })
	}
	end := time.Now().Add(protocol.Seconds(m.cfg.MeasureS))
	if err := m.writeProgressUntil(ctx, end, "measuring", measureProgressInterval); err != nil {
		return nil, err
	}
	return m.result(before, m.readCounters()), nil
}

// writeProgressUntil writes a line of progress once per interval until the time end. It
// returns early with the context's error if the context ends.
func (m *measurement) writeProgressUntil(ctx context.Context, end time.Time, phase string, interval time.Duration) error {
	for time.Now().Before(end) && ctx.Err() == nil {
		fmt.Fprintf(m.progress, "%s: %d tasks begun, %d running, %d changes of state, %d of %d jobs accepted\n",
			phase, m.starts.Load(), m.world.RunningTasks(), m.world.State.Counts().Changes, m.accepted.Load(), m.submitted.Load())
		timing.Sleep(ctx, min(interval, time.Until(end)))
	}
	return ctx.Err()
}

// recordStart counts a started task and records the wait of an urgent job. The world calls
// it for each task that starts, with the world's lock held.
func (m *measurement) recordStart(jobID string, sinceAccepted time.Duration) {
	m.starts.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if started, urgent := m.urgentJobs[jobID]; urgent && !started {
		m.urgentJobs[jobID] = true
		_ = m.urgentWaits.RecordValue(max(1, sinceAccepted.Milliseconds()))
	}
}

// dropFinishedJobs drops finished jobs periodically to bound the world's memory.
func (m *measurement) dropFinishedJobs(ctx context.Context) {
	for timing.Sleep(ctx, dropInterval) {
		m.world.DropFinishedJobs()
	}
}
