package kv

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// watchMargin is added to the time for which a watch blocks to get the timeout of its request.
const watchMargin = 5 * time.Second

// watcher requests the changes after a revision. It has no state and needs no lock: the caller
// keeps the revision. A caller that continues from the returned revision misses no change
// and gets none twice; after ErrCompacted it has to list all keys again.
type watcher struct {
	connection *connection
	limiter    *limiter
}

// watch returns the changes after the revision from in order, and the revision up to which they
// are complete. It returns no changes if there are none within block.
//
// A watch counts as executed when it was sent, not when it was answered: open watches remain open
// through an outage, and one that runs out then does not show that the state service executes
// calls (TestWatchCountsFromItsSending).
func (w *watcher) watch(ctx context.Context, from uint64, block time.Duration) ([]Item, uint64, error) {
	if err := w.limiter.waitForRequest(ctx); err != nil {
		return nil, 0, err
	}
	target := protocol.PathWatch + "?under=" + url.QueryEscape(keyPrefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(block.Milliseconds(), 10)
	var answer wireWatch
	sentAt := time.Now()
	status, err := w.connection.send(ctx, http.MethodGet, target, nil, &answer, block+watchMargin)
	w.connection.recordExecuted(status, sentAt)
	switch {
	case err != nil:
		return nil, 0, err
	case status == http.StatusGone:
		return nil, 0, ErrCompacted
	case status != http.StatusOK:
		return nil, 0, notExecuted(status)
	}
	items := make([]Item, 0, len(answer.Changes))
	for _, change := range answer.Changes {
		items = append(items, change.item())
	}
	return items, max(answer.Revision, from), nil
}

// item returns the state of the key after the change.
func (change wireChange) item() Item {
	if change.Delete != "" {
		return Item{Key: strings.TrimPrefix(change.Delete, keyPrefix), Version: change.Version}
	}
	return Item{strings.TrimPrefix(change.Set, keyPrefix), change.Value, change.Version}
}
