package emulator

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// roll draws a number for something that happens, told by its parts: the same
// for the same seed, the next one for each repetition.
func (w *World) roll(parts ...string) uint64 {
	d := xxhash.NewWithSeed(w.seed)
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	key := d.Sum64()
	w.draws[key]++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), w.draws[key]))
}

// between draws a duration. Down to the nanosecond, so that hardly two things
// happen at the same instant, whose order nobody could repeat.
func (w *World) between(low, high time.Duration, parts ...string) time.Duration {
	return low + time.Duration(w.roll(parts...)%uint64(high-low))
}

// chance draws a yes with so many percent.
func (w *World) chance(percent uint64, parts ...string) bool { return w.roll(parts...)%100 < percent }

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
