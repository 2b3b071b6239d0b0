package loadtest

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
)

// Result is the result of a measurement over its measured time. WriteJSON writes the fields
// under their Go names and in their order: renaming or moving a field makes later results
// differ from earlier ones.
type Result struct {
	Workers, Controllers int
	Seconds              float64   // measured time
	UpWorkers            int       // workers that have received a fencing token, at the end of the measurement
	Running              int       // running tasks at the end of the measurement
	Starts               float64   // started tasks per second
	Wanted               float64   // configured starts per second
	Changes, Requests    float64   // changes of and requests to the state service, per second
	ChangesPerStart      float64   // changes of the state service per started task
	StateInKB            float64   // received by the state service per second, in units of 1024 bytes, as all KB
	StateOutKB           float64   // sent by the state service per second
	Refused              float64   // transactions refused by a compare, per second
	WorkerOutKB          float64   // sent per second and worker: heartbeats, and responses to direct commands
	WorkerInKB           float64   // received per second and worker: responses to heartbeats, and direct commands
	Reports, Commands    float64   // heartbeats and direct commands, per second
	CPU                  []float64 // used processor cores, by controller
	RSSMB                []float64 // resident memory at the end in units of 2^20 bytes, by controller
	Sockets              []int     // open file descriptors at the end, by controller
	UrgentP50, UrgentP95 float64   // quantiles of the seconds from an urgent job's acceptance to its start
	UrgentMax            float64   // longest time from an urgent job's acceptance to its start, seconds
	Urgent, UrgentBegun  int       // number of urgent jobs, and of those that started; warm-up included
	Submitted, Accepted  int64     // number of jobs
	NotReached           []string  // configured amounts that were not reached, a line each
	LongestReport        int       `json:",omitempty"` // largest number of tasks in a heartbeat; warm-up included
	StartsByCopies       int       `json:",omitempty"` // tasks that late copies of direct calls have started; warm-up included
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// columns are the columns of results.csv.
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

// WriteCSV writes a header and one line per result, for a table or a plot.
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

// formatNumber formats a number with up to six significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// sumOf returns the sum of the figures, or 0 if there are none.
func sumOf(figures []float64) float64 {
	sum := 0.0
	for _, figure := range figures {
		sum += figure
	}
	return sum
}

// maxOf returns the largest figure, but at least 0.
func maxOf[T int | float64](figures []T) T {
	var largest T
	for _, figure := range figures {
		largest = max(largest, figure)
	}
	return largest
}
