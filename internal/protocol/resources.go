package protocol

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Resources is an amount of CPUs and GPUs: of a task, of a team's use, limit or guarantee.
// Messages and records hold it as the list [cpus,gpus].
type Resources struct{ CPUs, GPUs float64 }

// ResourceTolerance is the difference below which two amounts count as equal: adding up
// fractions of a CPU leaves rounding errors smaller than this.
const ResourceTolerance = 1e-6

// TaskResources returns what one task of the job uses.
func (s *Submission) TaskResources() Resources { return Resources{CPUs: s.CPUs, GPUs: s.GPUs} }

// Limit returns the most that the team may use; a part of 0 is not limited.
func (t Team) Limit() Resources { return Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs} }

// Guarantee returns what the team can claim from others; a part of 0 is not guaranteed.
func (t Team) Guarantee() Resources {
	return Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs}
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs}
}

// Difference returns r less other. Parts can be negative.
func (r Resources) Difference(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs}
}

// Minus returns r less other; a part below ResourceTolerance becomes 0.
func (r Resources) Minus(other Resources) Resources { return r.Difference(other).NonNegative() }

// NonNegative returns r with every part below ResourceTolerance set to 0.
func (r Resources) NonNegative() Resources {
	if r.CPUs < ResourceTolerance {
		r.CPUs = 0
	}
	if r.GPUs < ResourceTolerance {
		r.GPUs = 0
	}
	return r
}

// Min returns the lesser of both amounts, part by part.
func (r Resources) Min(other Resources) Resources {
	return Resources{CPUs: math.Min(r.CPUs, other.CPUs), GPUs: math.Min(r.GPUs, other.GPUs)}
}

// Max returns the greater of both amounts, part by part.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPUs: math.Max(r.CPUs, other.CPUs), GPUs: math.Max(r.GPUs, other.GPUs)}
}

// Times returns r multiplied by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{CPUs: r.CPUs * factor, GPUs: r.GPUs * factor}
}

// IsZero reports whether no part exceeds rounding errors.
func (r Resources) IsZero() bool { return r.CPUs < ResourceTolerance && r.GPUs < ResourceTolerance }

// Within reports whether no part is greater than bound's, rounding errors aside.
func (r Resources) Within(bound Resources) bool {
	return r.CPUs <= bound.CPUs+ResourceTolerance && r.GPUs <= bound.GPUs+ResourceTolerance
}

// String returns the amount as logs show it, "[cpus gpus]".
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

// UnmarshalEasyJSON reads what MarshalEasyJSON writes. A part that is missing or null
// stays as it is; parts beyond the second are skipped.
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

// MarshalJSON writes the amount as encoding/json writes a list of two numbers: records
// written by it spell very large and very small numbers differently from messages.
func (r Resources) MarshalJSON() ([]byte, error) { return json.Marshal(r.list()) }

// UnmarshalJSON reads a list of numbers: a missing part becomes 0, null changes nothing,
// parts beyond the second are ignored. Any other JSON value is an error.
func (r *Resources) UnmarshalJSON(data []byte) error {
	list := r.list()
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	r.CPUs, r.GPUs = list[0], list[1]
	return nil
}

// MachineResources is an amount of what tasks use of one machine.
type MachineResources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns what an empty machine of a type has.
func ResourcesOf(machineType *MachineType) MachineResources {
	return MachineResources{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// Fits reports whether a task of a job fits into the amount.
func (r MachineResources) Fits(spec *Submission) bool {
	return r.CPUs+ResourceTolerance >= spec.CPUs && r.GPUs+ResourceTolerance >= spec.GPUs && r.MemoryGB+ResourceTolerance >= spec.MemoryGB
}

// Plus returns the amount with what one task of a job uses added.
func (r MachineResources) Plus(spec *Submission) MachineResources {
	return MachineResources{r.CPUs + spec.CPUs, r.GPUs + spec.GPUs, r.MemoryGB + spec.MemoryGB}
}

// Minus returns the amount without what so many tasks of a job use. It may be negative.
func (r MachineResources) Minus(spec *Submission, tasks int) MachineResources {
	count := float64(tasks)
	return MachineResources{r.CPUs - count*spec.CPUs, r.GPUs - count*spec.GPUs, r.MemoryGB - count*spec.MemoryGB}
}

// Max returns the greater of both, part by part.
func (r MachineResources) Max(other MachineResources) MachineResources {
	return MachineResources{max(r.CPUs, other.CPUs), max(r.GPUs, other.GPUs), max(r.MemoryGB, other.MemoryGB)}
}
