package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/expr-lang/expr"

	"madderslip/internal/protocol"
)

// LineError is an error in a line of a policy file. Its text is file:line:column: cause.
type LineError struct {
	File         string
	Line, Column int // counted from 1
	Err          error
}

func (e *LineError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// variablesOf returns the platform's settings that expressions may use, by name. Times are in
// seconds, rates are per second.
func variablesOf(platform protocol.Settings) map[string]float64 {
	return map[string]float64{
		"report":          platform.Workers.HeartbeatInterval.Seconds(),
		"lease":           platform.Workers.LeaseDuration.Seconds(),
		"cancel":          platform.Workers.CancelDeadline.Seconds(),
		"list_lag":        platform.CloudLimits.ListLag.Seconds(),
		"state_rps":       platform.StateLimits.RequestRate,
		"state_write_rps": platform.StateLimits.WriteRate,
		"cloud_rps":       platform.CloudLimits.RequestRate,
		"nodes":           float64(platform.NodeCount),
		"zones":           float64(len(platform.Zones)),
	}
}

// read sets the policy's values from the text of a file. If a name occurs more than once, the
// last value applies.
func (p *Policy) read(file, text string, variables map[string]float64) error {
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		if column, err := p.readLine(line, variables); err != nil {
			return &LineError{File: file, Line: i + 1, Column: column, Err: err}
		}
	}
	return nil
}

// readLine sets one value of the policy from a line "name = expression". With an error it
// returns the column of the error.
func (p *Policy) readLine(line string, variables map[string]float64) (column int, err error) {
	name, source, ok := strings.Cut(line, "=")
	if !ok {
		return 1, errors.New("wants name = expression")
	}
	expressionColumn := len(name) + len("=") + 1
	name = strings.TrimSpace(name)
	index := slices.IndexFunc(settings, func(s setting) bool { return s.name == name })
	if index < 0 {
		return 1, fmt.Errorf("unknown name %q", name)
	}
	value, err := evaluate(source, variables)
	if err != nil {
		return expressionColumn, fmt.Errorf("%s: %w", name, err)
	}
	s := settings[index]
	// NaN is not within any bounds.
	if !(value >= s.low && value <= s.high) {
		return expressionColumn, fmt.Errorf("%s is %v, must be from %v to %v", name, value, s.low, s.high)
	}
	s.set(p, value)
	return 0, nil
}

// evaluate type-checks and evaluates an expression. The text of its errors is one line.
func evaluate(source string, variables map[string]float64) (float64, error) {
	program, err := expr.Compile(source, expr.Env(variables), expr.AsFloat64())
	if err != nil {
		// The expr library adds lines to the error's text that mark the position of the error.
		// These are dropped, because the text of a policy error is one line.
		text, _, _ := strings.Cut(err.Error(), "\n")
		return 0, errors.New(text)
	}
	result, err := expr.Run(program, variables)
	if err != nil {
		return 0, err
	}
	value, ok := result.(float64)
	if !ok {
		return 0, fmt.Errorf("is no number but %T", result)
	}
	return value, nil
}
