package emulator

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawNumber draws a random number for an event, which the parts identify. The number
// depends only on the seed, the parts and how often a number was drawn for the same parts
// before. The world's lock is held by the caller.
func (w *World) drawNumber(parts ...string) uint64 {
	digest := xxhash.NewWithSeed(w.seed)
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	key := digest.Sum64()
	w.draws[key]++
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), w.draws[key]))
}

// between draws a duration of at least low and less than high. Its unit is the nanosecond,
// so that two events hardly ever happen at the same instant: their order could not be
// reproduced. The world's lock is held by the caller.
func (w *World) between(low, high time.Duration, parts ...string) time.Duration {
	return low + time.Duration(w.drawNumber(parts...)%uint64(high-low))
}

// chance returns true with the given probability in percent. The world's lock is held by
// the caller.
func (w *World) chance(percent uint64, parts ...string) bool {
	return w.drawNumber(parts...)%100 < percent
}

// drawController draws one of the controllers. The world's lock is held by the caller.
func (w *World) drawController(parts ...string) string {
	return w.controllers[int(w.drawNumber(parts...)%uint64(len(w.controllers)))]
}

// wait blocks for a duration. It returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
