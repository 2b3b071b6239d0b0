package kv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/protocol"
	"madderslip/internal/timing"
)

// pagedService is a state service with keys in numbered pages of one item each, which answers at
// most requestRate requests a second.
type pagedService struct {
	pages    int
	requests *rate.Limiter
	mu       sync.Mutex
	failures []int // statuses of the next requests for a page after the first, before pages are served
}

func (s *pagedService) Do(_ context.Context, _, _, target string, _ []byte) (int, []byte, error) {
	time.Sleep(6 * time.Millisecond)
	if !s.requests.Allow() {
		return 429, nil, nil
	}
	u, err := url.Parse(target)
	if err != nil {
		return 0, nil, err
	}
	page := 0
	if from := u.Query().Get("from"); from != "" {
		last, err := strconv.Atoi(strings.TrimPrefix(from, keyPrefix))
		if err != nil {
			return 400, nil, nil
		}
		if status, fails := s.nextFailure(); fails {
			if status == 0 {
				return 0, nil, errors.New("connection reset")
			}
			return status, nil, nil
		}
		page = last + 1
	}
	return 200, fmt.Appendf(nil, `{"items":[{"key":"%s%06d","value":{},"stamp":1}],"truncated":%v,"epoch":%d}`, keyPrefix, page, page+1 < s.pages, 10+page), nil
}

// nextFailure returns the status of the next failure, if there is one left.
func (s *pagedService) nextFailure() (status int, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failures) == 0 {
		return 0, false
	}
	status, s.failures = s.failures[0], s.failures[1:]
	return status, true
}

func newPagedClient(service *pagedService, requestRate float64) *Client {
	return New(service, "x", protocol.StateLimits{RequestRate: requestRate, WriteRate: 30}, slog.New(slog.DiscardHandler))
}

// listAll returns all items of a list.
func listAll(ctx context.Context, client *Client) ([]Item, uint64, error) {
	var all []Item
	revision, err := client.List(ctx, func(page []Item) { all = append(all, page...) })
	return all, revision, err
}

// Three controllers restart together while the state service holds 240,000 records, which are 480
// pages. Together they exceed the request rate and are refused again and again. A list that began
// anew after each refusal would never end, and no question of a user would be answered.
func TestClientsListManyKeysTogether(t *testing.T) {
	const (
		requestRate = 120 // a second, for all clients together
		pages       = 480
		clients     = 3
		within      = 60 * time.Second // a job counts as forgotten after 75 s without an answer
	)
	synctest.Test(t, func(t *testing.T) {
		service := &pagedService{pages: pages, requests: rate.NewLimiter(requestRate, requestRate)}
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() {
				client := newPagedClient(service, requestRate)
				client.SetBudgetShare(1)
				for ctx.Err() == nil {
					if items, _, err := listAll(ctx, client); err == nil {
						if len(items) != pages {
							t.Errorf("client %d: %d pages", i, len(items))
						}
						return
					}
					timing.Sleep(ctx, 500*time.Millisecond)
				}
				t.Errorf("client %d has not read all keys within %v", i, within)
			})
		}
		group.Wait()
	})
}

// A page that is refused or not answered is read again and the pages before it are kept, with the
// revision of the first page. A malformed request and a first page that fails end the list.
func TestListKeepsPagesBeforeFailure(t *testing.T) {
	for name, test := range map[string]struct {
		failures []int
		pages    int
		wantErr  bool
	}{
		"refused for the rate": {[]int{429, 429}, 3, false},
		"outage":               {[]int{503, 503, 503}, 3, false},
		"no answer":            {[]int{0, 0}, 3, false},
		"malformed":            {[]int{400}, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &pagedService{pages: test.pages, requests: rate.NewLimiter(rate.Inf, 1), failures: test.failures}
				items, revision, err := listAll(t.Context(), newPagedClient(service, 100))
				if (err != nil) != test.wantErr {
					t.Fatalf("%d items, %v", len(items), err)
				}
				if err == nil && (len(items) != test.pages || revision != 10) {
					t.Errorf("%d items at revision %d", len(items), revision)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		service := &pagedService{pages: 1, requests: rate.NewLimiter(0, 0)}
		if _, _, err := listAll(t.Context(), newPagedClient(service, 100)); !errors.Is(err, ErrNotExecuted) {
			t.Errorf("a refused first page gives %v", err)
		}
	})
}

// largePages is a state service with pages of 500 records of 250 bytes.
type largePages struct{ pages int }

func (s *largePages) Do(_ context.Context, _, _, target string, _ []byte) (int, []byte, error) {
	u, err := url.Parse(target)
	if err != nil {
		return 0, nil, err
	}
	next := 0
	if from := u.Query().Get("from"); from != "" {
		last, err := strconv.Atoi(strings.TrimPrefix(from, keyPrefix))
		if err != nil {
			return 400, nil, nil
		}
		next = last + 1
	}
	body := []byte(`{"items":[`)
	for i := range listPageItems {
		body = fmt.Appendf(body, `{"key":"%s%08d","value":{"d":"%s"},"stamp":1},`, keyPrefix, next+i, strings.Repeat("x", 250))
	}
	return 200, fmt.Appendf(body[:len(body)-1], `],"truncated":%v,"epoch":10}`, next/listPageItems+1 < s.pages), nil
}

// TestListKeepsOnePage guards against a process that exceeds its memory as it reads all records after a crash, and never comes back.
func TestListKeepsOnePage(t *testing.T) {
	const (
		pages    = 300
		maxBytes = 8 << 20 // the records have 48 MB
	)
	client := New(&largePages{pages}, "x", protocol.StateLimits{RequestRate: 1e6, WriteRate: 30}, slog.New(slog.DiscardHandler))
	client.SetBudgetShare(1)
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before, count, most := heap(), 0, int64(0)
	if _, err := client.List(t.Context(), func(page []Item) {
		if count += len(page); count%(50*listPageItems) == 0 {
			most = max(most, heap()-before)
		}
	}); err != nil || count != pages*listPageItems {
		t.Fatalf("%d records, %v", count, err)
	}
	if most > maxBytes {
		t.Errorf("%d bytes are kept while records are read", most)
	}
}
