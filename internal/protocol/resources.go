package protocol

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Resources is an amount of CPUs and GPUs, such as a task's resources or a team's usage,
// limit or guarantee. In messages and records it is the list [cpus,gpus].
type Resources struct{ CPUs, GPUs float64 }

// ResourceTolerance is the difference below which two amounts count as equal: sums
// of fractions of a CPU have rounding errors smaller than this.
const ResourceTolerance = 1e-6

// TaskResources returns what one task of the job uses.
func (s *Submission) TaskResources() Resources { return Resources{CPUs: s.CPUs, GPUs: s.GPUs} }

// Limit returns the most that the team may use; a resource with an amount of 0 is not limited.
func (t Team) Limit() Resources { return Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs} }

// Guarantee returns the amount that the team is entitled to at the expense of other teams; a
// resource with an amount of 0 is not guaranteed.
func (t Team) Guarantee() Resources {
	return Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs}
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs}
}

// Difference returns r less other. The amounts may be negative.
func (r Resources) Difference(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs}
}

// Minus returns r less other; an amount below ResourceTolerance becomes 0.
func (r Resources) Minus(other Resources) Resources { return r.Difference(other).NonNegative() }

// NonNegative returns r with every amount below ResourceTolerance set to 0.
func (r Resources) NonNegative() Resources {
	if r.CPUs < ResourceTolerance {
		r.CPUs = 0
	}
	if r.GPUs < ResourceTolerance {
		r.GPUs = 0
	}
	return r
}

// Min returns the lesser amount of each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{CPUs: math.Min(r.CPUs, other.CPUs), GPUs: math.Min(r.GPUs, other.GPUs)}
}

// Max returns the greater amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPUs: math.Max(r.CPUs, other.CPUs), GPUs: math.Max(r.GPUs, other.GPUs)}
}

// Times returns r multiplied by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{CPUs: r.CPUs * factor, GPUs: r.GPUs * factor}
}

// IsZero reports whether no amount exceeds rounding errors.
func (r Resources) IsZero() bool { return r.CPUs < ResourceTolerance && r.GPUs < ResourceTolerance }

// Within reports whether no amount is greater than bound's, except for rounding errors.
func (r Resources) Within(bound Resources) bool {
	return r.CPUs <= bound.CPUs+ResourceTolerance && r.GPUs <= bound.GPUs+ResourceTolerance
}

// String returns the amount in the form used in logs, "[cpus gpus]".
func (r Resources) String() string { return fmt.Sprint(r.list()) }

func (r Resources) list() [2]float64 { return [2]float64{r.CPUs, r.GPUs} }

// MarshalEasyJSON writes the amount as a list of two numbers.
func (r Resources) MarshalEasyJSON(w *jwriter.Writer) {
	w.RawByte('[')
	w.Float64(r.CPUs)
	w.RawByte(',')
	w.Float64(r.GPUs)
	w.RawByte(']')
}

// UnmarshalEasyJSON reads what MarshalEasyJSON writes. A number that is missing or null
// leaves the amount unchanged; elements beyond the second are skipped.
func (r *Resources) UnmarshalEasyJSON(l *jlexer.Lexer) {
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('[')
	for part := 0; !l.IsDelim(']'); part++ {
		switch {
		case part > 1:
			l.SkipRecursive()
		case l.IsNull():
			l.Skip()
		case part == 0:
			r.CPUs = l.Float64()
		default:
			r.GPUs = l.Float64()
		}
		l.WantComma()
	}
	l.Delim(']')
}

// MarshalJSON writes the amount as encoding/json writes a list of two numbers. Records that
// are written by encoding/json format very large and very small numbers differently from
// messages.
func (r Resources) MarshalJSON() ([]byte, error) { return json.Marshal(r.list()) }

// UnmarshalJSON reads a list of numbers: a missing number becomes 0, null changes nothing,
// elements beyond the second are ignored. Any other JSON value is an error.
func (r *Resources) UnmarshalJSON(data []byte) error {
	list := r.list()
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	r.CPUs, r.GPUs = list[0], list[1]
	return nil
}

// MachineResources is an amount of one machine's resources.
type MachineResources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns the resources of an empty machine of a type.
func ResourcesOf(machineType *MachineType) MachineResources {
	return MachineResources{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// Fits reports whether a task of a job fits into the amount.
func (r MachineResources) Fits(spec *Submission) bool {
	return r.CPUs+ResourceTolerance >= spec.CPUs && r.GPUs+ResourceTolerance >= spec.GPUs && r.MemoryGB+ResourceTolerance >= spec.MemoryGB
}

// Plus returns the amount with the resources of one task of a job added.
func (r MachineResources) Plus(spec *Submission) MachineResources {
	return MachineResources{r.CPUs + spec.CPUs, r.GPUs + spec.GPUs, r.MemoryGB + spec.MemoryGB}
}

// Minus returns the amount less the resources of the given number of tasks of a job. The
// result may be negative.
func (r MachineResources) Minus(spec *Submission, tasks int) MachineResources {
	count := float64(tasks)
	return MachineResources{r.CPUs - count*spec.CPUs, r.GPUs - count*spec.GPUs, r.MemoryGB - count*spec.MemoryGB}
}

// Max returns the greater amount of each resource.
func (r MachineResources) Max(other MachineResources) MachineResources {
	return MachineResources{max(r.CPUs, other.CPUs), max(r.GPUs, other.GPUs), max(r.MemoryGB, other.MemoryGB)}
}
