package simtest

import (
	"strconv"
	"strings"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// jobLine is a job as a line of a script describes it.
type jobLine struct {
	job    *emulator.Job
	answer int // the expected HTTP status of the submission
}

// jobKeys maps the keys of a job's key=value words to functions that set the value, which they
// receive as text and as a number.
var jobKeys = map[string]func(line *jobLine, text string, number float64){
	"tasks": func(line *jobLine, _ string, n float64) { line.job.Spec.Tasks = int(n) },
	"cpus":  func(line *jobLine, _ string, n float64) { line.job.Spec.CPUs = n },
	"mem":   func(line *jobLine, _ string, n float64) { line.job.Spec.MemoryGB = n },
	"cards": func(line *jobLine, _ string, n float64) { line.job.Spec.GPUs = n },
	"run": func(line *jobLine, _ string, n float64) {
		line.job.Run, line.job.Spec.RunEstimateS = protocol.Seconds(n), n
	},
	// saves: the interval between checkpoints in seconds; each takes 2 s
	"saves": func(line *jobLine, _ string, n float64) {
		line.job.Spec.CheckpointIntervalS, line.job.Spec.CheckpointS = n, 2
	},
	"due":      func(line *jobLine, _ string, n float64) { line.job.Spec.DeadlineS = &n },
	"rank":     func(line *jobLine, text string, _ float64) { line.job.Spec.PriorityClass = text },
	"team":     func(line *jobLine, text string, _ float64) { line.job.Spec.Team = text },
	"zone":     func(line *jobLine, text string, _ float64) { line.job.Spec.Zone = text },
	"spread":   func(line *jobLine, _ string, _ float64) { line.job.Spec.SpreadZones = true },
	"samezone": func(line *jobLine, _ string, _ float64) { line.job.Spec.SameZone = true },
	"cheap":    func(line *jobLine, _ string, _ float64) { line.job.Spec.AllowSpot = true },
	"fails":    func(line *jobLine, _ string, _ float64) { line.job.Fail = true },
	"class":    func(line *jobLine, text string, _ float64) { line.job.Spec.Class = text },
	"image":    func(line *jobLine, text string, _ float64) { line.job.Spec.Image = text },
	"fetch":    func(line *jobLine, _ string, n float64) { line.job.Fetch = protocol.Seconds(n) },
	"needs":    func(line *jobLine, text string, _ float64) { line.job.Spec.Dependencies = strings.Split(text, ",") },
	"answer":   func(line *jobLine, _ string, n float64) { line.answer = int(n) },
}

var shapes = map[string]protocol.Shape{"array": protocol.ShapeArray, "gang": protocol.ShapeGang, "service": protocol.ShapeService}

// parseJob parses "JOB SHAPE key=value ..." and returns the job and the expected HTTP status of
// its submission, by default 201.
func parseJob(args []string) (*emulator.Job, int, error) {
	if len(args) < 2 || shapes[args[1]] == "" {
		return nil, 0, scriptErrorf("no job in %v", args)
	}
	spec := protocol.Submission{JobID: args[0], Class: args[1], Team: "open", Shape: shapes[args[1]], PriorityClass: "normal", Tasks: 1,
		CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}
	line := &jobLine{job: &emulator.Job{Spec: spec}, answer: 201}
	for _, word := range args[2:] {
		key, text, _ := strings.Cut(word, "=")
		number, _ := strconv.ParseFloat(text, 64)
		set := jobKeys[key]
		if set == nil {
			return nil, 0, scriptErrorf("unknown key %q", key)
		}
		set(line, text, number)
	}
	return line.job, line.answer, nil
}
