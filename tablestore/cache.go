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
func (k *responseCache) condition(path string) http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.responses[path]
	if !ok {
		return nil
	}
	return http.Header{"If-None-Match": {r.tag}}
}

// resolve returns the cached response if the new one has the status Not Modified, and
// otherwise caches and returns the new one. It reports false if the response was not
// modified but is no longer cached.
func (k *responseCache) resolve(path string, r response) (response, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.status == http.StatusNotModified {
		old, ok := k.responses[path]
		return old, ok
	}
	k.store(path, r)
	return r, true
}

// store replaces the cached response of a path. If the cache is full, it evicts the
// responses of arbitrary other paths. The caller must hold k.mu.
func (k *responseCache) store(path string, r response) {
	delete(k.responses, path)
	if r.status != http.StatusOK || r.tag == "" || len(r.body) < minCachedBytes || len(r.body) > maxCachedBytes {
		return
	}
	if k.responses == nil {
		k.responses = map[string]response{}
	}
	for other := range k.responses {
		if len(k.responses) < maxCachedResponses {
			break
		}
		delete(k.responses, other)
	}
	k.responses[path] = r
}
