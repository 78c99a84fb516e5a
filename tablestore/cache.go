package tablestore

import (
	"net/http"
	"sync"
)

// Limits of the responses that a client caches.
const (
	// minCachedBytes is the minimum size of a cached response: a smaller one
	// costs as little as a response with the status Not Modified.
	minCachedBytes = 1 << 10
	// maxCachedBytes is the maximum size of a cached response.
	maxCachedBytes = 2 << 20
	// maxCachedResponses is the maximum number of cached responses.
	maxCachedResponses = 16
)

// responseCache caches the latest response of some paths with its entity tag, so that
// unchanged content is not sent again (RFC 9110, section 13.1.2). The zero value is
// empty. It is safe for concurrent use. All readers share the bodies, which must not
// be modified.
type responseCache struct {
	mu        sync.Mutex
	responses map[string]response
}

// condition returns the precondition header of a read, or nil if there is no cached
// response for the path.
func (c *responseCache) condition(path string) http.Header {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.responses[path]
	if !ok {
		return nil
	}
	return http.Header{"If-None-Match": {r.tag}}
}

// resolve returns the cached response if the new one has the status Not Modified, and
// otherwise passes the new one to store and returns it. It reports false if the
// response was not modified but is no longer cached.
func (c *responseCache) resolve(path string, r response) (response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.status == http.StatusNotModified {
		old, ok := c.responses[path]
		return old, ok
	}
	c.store(path, r)
	return r, true
}

// store replaces the cached response of a path, or drops it if the new one is not to
// be cached. If the cache is full, it evicts the responses of arbitrary other paths.
// The caller must hold c.mu.
func (c *responseCache) store(path string, r response) {
	delete(c.responses, path)
	if r.status != http.StatusOK || r.tag == "" || len(r.body) < minCachedBytes || len(r.body) > maxCachedBytes {
		return
	}
	if c.responses == nil {
		c.responses = map[string]response{}
	}
	for other := range c.responses {
		if len(c.responses) < maxCachedResponses {
			break
		}
		delete(c.responses, other)
	}
	c.responses[path] = r
}
