package scenario_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Timing of the balancer's health checks.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer simulates the platform's load balancer, which sends no caller to an entry
// host whose health check times out. A host that refuses connections or reports that
// it is not ready fails fast, so it is still tried. The zero value treats every host
// as responsive. It is safe for concurrent use.
type balancer struct {
	mu           sync.Mutex
	unresponsive map[string]bool
}

// probe checks the health of an entry host until the context ends.
func (b *balancer) probe(ctx context.Context, entry, operators string) {
	for ctx.Err() == nil {
		b.record(entry, timesOut(ctx, "http://"+operators+"/ready"))
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// timesOut reports whether a GET of a URL fails by timeout.
func timesOut(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Is(err, context.DeadlineExceeded)
	}
	response.Body.Close()
	return false
}

func (b *balancer) record(entry string, unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unresponsive == nil {
		b.unresponsive = map[string]bool{}
	}
	b.unresponsive[entry] = unresponsive
}

// choose returns the first responsive entry host in the given order, beginning at
// index from and wrapping around, or the one at that index if none is responsive.
func (b *balancer) choose(entries []string, order []int, from int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := entries[order[from%len(order)]]
	for i := range order {
		if entry := entries[order[(from+i)%len(order)]]; !b.unresponsive[entry] {
			return entry
		}
	}
	return first
}
