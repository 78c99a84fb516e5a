package tablestore

import (
	"net/http"
	"sync"
)

// Bounds of the answers that a client keeps.
const (
	// minCachedBytes is the smallest answer that is kept, in bytes: a smaller one
	// costs as little as the answer that it has not changed.
	minCachedBytes = 1 << 10
	// maxCachedBytes is the largest answer that is kept, in bytes.
	maxCachedBytes = 2 << 20
	// maxCachedResponses is the number of answers that are kept.
	maxCachedResponses = 16
)

// responseCache holds the latest answer of some paths with its entity tag, so that a list
// that has not changed is not sent again (RFC 9110, section 13.1.2). The zero
// value holds none. It is safe for concurrent use. The bodies are shared by all who
// read them and must not be changed.
type responseCache struct {
	mu        sync.Mutex
	responses map[string]response
}

// condition returns the precondition for a read of a path.
func (k *responseCache) condition(path string) http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.responses[path]
	if !ok {
		return nil
	}
	return http.Header{"If-None-Match": {r.tag}}
}

// resolve returns the answer that counts: the one that is kept, if the new one
// tells that it has not changed.
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

// store replaces what is kept of a path, with k.mu held. When there is no room,
// any other path makes it.
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
