package loadtest

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
)

// Result is what a measurement came to, over its measured time. It is written by the names
// of its fields, in their order: a renamed one makes results before and after differ.
type Result struct {
	Workers, Controllers int
	Seconds              float64   // measured time
	UpWorkers            int       // that a controller serves, when the measurement ends
	Running              int       // tasks at its end
	Starts               float64   // tasks that started, a second
	Wanted               float64   // the configured starts, a second
	Changes, Requests    float64   // of the state service, a second
	ChangesPerStart      float64   // of the state service, for each task
	StateInKB            float64   // a second, to the state service
	StateOutKB           float64   // a second, from it
	Refused              float64   // transactions refused by a comparison, a second
	WorkerOutKB          float64   // a second and worker, its heartbeats
	WorkerInKB           float64   // a second and worker, responses and direct commands
	Reports, Commands    float64   // heartbeats and direct commands, a second
	CPU                  []float64 // cores, by controller
	RSSMB                []float64 // resident memory, by controller
	Sockets              []int     // open files, by controller
	UrgentP50, UrgentP95 float64   // seconds from the acceptance to the start
	UrgentMax            float64   // seconds, likewise
	Urgent, UrgentBegun  int       // urgent jobs, and those of them that started
	Submitted, Accepted  int64     // jobs
	NotReached           []string  // what the configuration asked for and the machine did not give
}

// WriteJSON writes a result.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// columns are those of results.csv.
var columns = []struct {
	name string
	text func(r *Result) string
}{
	{"workers", func(r *Result) string { return strconv.Itoa(r.Workers) }},
	{"controllers", func(r *Result) string { return strconv.Itoa(r.Controllers) }},
	{"wanted", func(r *Result) string { return formatNumber(r.Wanted) }},
	{"starts", func(r *Result) string { return formatNumber(r.Starts) }},
	{"running", func(r *Result) string { return strconv.Itoa(r.Running) }},
	{"changes", func(r *Result) string { return formatNumber(r.Changes) }},
	{"changes_per_start", func(r *Result) string { return formatNumber(r.ChangesPerStart) }},
	{"state_requests", func(r *Result) string { return formatNumber(r.Requests) }},
	{"state_in_kb", func(r *Result) string { return formatNumber(r.StateInKB) }},
	{"state_out_kb", func(r *Result) string { return formatNumber(r.StateOutKB) }},
	{"worker_out_kb", func(r *Result) string { return formatNumber(r.WorkerOutKB) }},
	{"worker_in_kb", func(r *Result) string { return formatNumber(r.WorkerInKB) }},
	{"cpu_sum", func(r *Result) string { return formatNumber(sumOf(r.CPU)) }},
	{"cpu_max", func(r *Result) string { return formatNumber(maxOf(r.CPU)) }},
	{"rss_max_mb", func(r *Result) string { return formatNumber(maxOf(r.RSSMB)) }},
	{"sockets_max", func(r *Result) string { return strconv.Itoa(maxOf(r.Sockets)) }},
	{"urgent_p50", func(r *Result) string { return formatNumber(r.UrgentP50) }},
	{"urgent_p95", func(r *Result) string { return formatNumber(r.UrgentP95) }},
}

// WriteCSV writes results, a line each, for a table or a plot.
func WriteCSV(w io.Writer, results []*Result) error {
	writer := csv.NewWriter(w)
	header := make([]string, 0, len(columns))
	for _, column := range columns {
		header = append(header, column.name)
	}
	if err := writer.Write(header); err != nil {
		return err
	}
	for _, result := range results {
		line := make([]string, 0, len(columns))
		for _, column := range columns {
			line = append(line, column.text(result))
		}
		if err := writer.Write(line); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// formatNumber writes a figure with six significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// sumOf adds figures up; none are 0.
func sumOf(figures []float64) float64 {
	sum := 0.0
	for _, figure := range figures {
		sum += figure
	}
	return sum
}

// maxOf is the largest figure, and no less than 0.
func maxOf[T int | float64](figures []T) T {
	var largest T
	for _, figure := range figures {
		largest = max(largest, figure)
	}
	return largest
}
