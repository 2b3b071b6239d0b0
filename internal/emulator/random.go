package emulator

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// roll draws a number for something that happens, which its parts name: the same for the
// same seed, the next one for each repetition. The world's lock is held by the caller.
func (w *World) roll(parts ...string) uint64 {
	digest := xxhash.NewWithSeed(w.seed)
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	key := digest.Sum64()
	w.draws[key]++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), w.draws[key]))
}

// between draws a duration. Down to the nanosecond, so that hardly two things happen at
// the same instant, whose order nobody could repeat. The world's lock is held by the
// caller.
func (w *World) between(low, high time.Duration, parts ...string) time.Duration {
	return low + time.Duration(w.roll(parts...)%uint64(high-low))
}

// chance draws a yes with so many percent. The world's lock is held by the caller.
func (w *World) chance(percent uint64, parts ...string) bool { return w.roll(parts...)%100 < percent }

// drawController draws one of the controllers. The world's lock is held by the caller.
func (w *World) drawController(parts ...string) string {
	return w.controllers[int(w.roll(parts...)%uint64(len(w.controllers)))]
}

// wait waits for a while. It returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
