package loadtest

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

// Classes of the jobs.
const (
	arrayClass  = "array"
	urgentClass = "urgent"
)

// startLoad starts goroutines that submit arrays and urgent services as users, each at a
// constant rate, until the context ends.
func (m *measurement) startLoad(ctx context.Context) {
	inFlight := make(chan struct{}, m.cfg.Load.MaxInFlight)
	submitEvery := func(rate float64, newJob func() *emulator.Job, urgent bool) {
		if rate <= 0 {
			return
		}
		interval := time.Duration(float64(time.Second) / rate)
		for next := time.Now(); timing.Sleep(ctx, time.Until(next)); next = next.Add(interval) {
			m.submit(ctx, inFlight, newJob(), urgent)
		}
	}
	load := m.cfg.Load
	m.background.Go(func() { submitEvery(load.StartsPerS/float64(load.ArrayTasks), m.newArray, false) })
	m.background.Go(func() { submitEvery(load.UrgentPerS, m.newUrgentService, true) })
}

// submit starts a goroutine that submits a job as a user. If MaxInFlight jobs are already in
// flight, the machine does not keep up with the load: the job is dropped and not counted in
// Result.Submitted.
func (m *measurement) submit(ctx context.Context, inFlight chan struct{}, job *emulator.Job, urgent bool) {
	select {
	case inFlight <- struct{}{}:
	default:
		return
	}
	m.background.Go(func() {
		defer func() { <-inFlight }()
		m.runUser(ctx, job, urgent)
	})
}

// runUser submits a job as a user, with a different controller as the first to be asked for
// each job in turn. It cancels an accepted urgent job after RunS.
func (m *measurement) runUser(ctx context.Context, job *emulator.Job, urgent bool) {
	m.submitted.Add(1)
	node := m.controllers[int(m.submitted.Load())%len(m.controllers)].name
	if urgent {
		m.mu.Lock()
		m.urgentJobs[job.Spec.JobID] = false
		m.mu.Unlock()
	}
	status := m.world.RequestUntilAnswered(node, func(node string) int { return m.world.Submit(node, job) })
	if status != http.StatusCreated && status != http.StatusOK {
		return
	}
	m.accepted.Add(1)
	if urgent && timing.Sleep(ctx, protocol.Seconds(m.cfg.Load.RunS)) {
		m.world.RequestUntilAnswered(node, func(node string) int { return m.world.Cancel(node, job.Spec.JobID) })
	}
}

// newArray returns an array whose tasks end by themselves after RunS.
func (m *measurement) newArray() *emulator.Job {
	job := m.newJob(arrayClass, protocol.ShapeArray, "normal", m.cfg.Load.ArrayTasks)
	job.Run = protocol.Seconds(m.cfg.Load.RunS)
	job.Spec.RunEstimateS = m.cfg.Load.RunS
	return job
}

// newUrgentService returns a service of one replica whose priority is above that of all
// arrays. It runs until it is cancelled.
func (m *measurement) newUrgentService() *emulator.Job {
	return m.newJob(urgentClass, protocol.ShapeService, "critical", 1)
}

func (m *measurement) newJob(class string, shape protocol.Shape, priorityClass string, tasks int) *emulator.Job {
	return &emulator.Job{Spec: protocol.Submission{
		JobID:         fmt.Sprintf("wk-%06d", m.lastJobNumber.Add(1)),
		Class:         class,
		Team:          team,
		Shape:         shape,
		PriorityClass: priorityClass,
		Tasks:         tasks,
		CPUs:          1,
		MemoryGB:      2,
		Image:         "img-1",
		ImageGB:       1,
	}}
}
