package kv

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

const (
	// listPageItems is the largest number of items in one page of a list.
	listPageItems = 500
	// pageRefusedPause is the time between the refusal of a page for the request rate and the
	// next attempt, and pageFailedPause that after any other failure.
	pageRefusedPause = 150*time.Millisecond + 89*time.Nanosecond
	pageFailedPause  = 500*time.Millisecond + 89*time.Nanosecond
)

// List reads all keys, page by page in the order of the keys, and calls apply with the items of each
// page. It returns the revision of the first page: a watch from that revision misses no change,
// however long the other pages take. A page is dropped before the next one is read: all records
// of months of jobs together would exceed a process's memory (TestListKeepsOnePage).
//
// If the first page can't be read, List returns the error. A later page is read again until the
// context ends, unless the state service calls the request malformed. With many keys, controllers that read at the same time exceed the request rate together;
// if each refusal made them begin anew, none would ever finish (TestClientsListManyKeysTogether).
func (c *Client) List(ctx context.Context, apply func(page []Item)) (uint64, error) {
	from, revision := "", uint64(0)
	for first := true; ; first = false {
		page, err := c.readPage(ctx, from, !first)
		if err != nil {
			return 0, wrapError(opList, "", err)
		}
		if first {
			revision = page.Revision
		}
		items := make([]Item, 0, len(page.Items))
		for _, item := range page.Items {
			from = item.Key
			items = append(items, Item{strings.TrimPrefix(item.Key, keyPrefix), item.Value, item.Version})
		}
		apply(items)
		if !page.Truncated || len(page.Items) == 0 {
			return revision, nil
		}
	}
}

// readPage reads the page of keys after from, the first page if from is empty. With retry set it
// repeats a read that was refused or not answered.
func (c *Client) readPage(ctx context.Context, from string, retry bool) (wireList, error) {
	for {
		page, status, err := c.listPage(ctx, from)
		isTransient := status == 0 || status >= http.StatusTooManyRequests
		if err == nil || !retry || !isTransient {
			return page, err
		}
		c.log.Debug("page of records not read", "after", from, "status", status, "err", err)
		pause := pageFailedPause
		if status == http.StatusTooManyRequests {
			pause = pageRefusedPause
		}
		if !timing.Sleep(ctx, pause) {
			return page, err
		}
	}
}

// listPage reads a page once. The status is 0 if there was no answer.
func (c *Client) listPage(ctx context.Context, from string) (page wireList, status int, err error) {
	if err := c.limiter.waitForRequest(ctx); err != nil {
		return page, 0, err
	}
	target := protocol.PathKeys + "?under=" + url.QueryEscape(keyPrefix) + "&most=" + strconv.Itoa(listPageItems)
	if from != "" {
		target += "&from=" + url.QueryEscape(from)
	}
	status, err = c.connection.call(ctx, http.MethodGet, target, nil, &page, listTimeout)
	if err == nil && status != http.StatusOK {
		err = notExecuted(status)
	}
	return page, status, err
}
