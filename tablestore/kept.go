package tablestore

import (
	"net/http"
	"sync"
)

// Bounds of the answers that a client keeps.
const (
	// minKept is the smallest answer that is kept, in bytes: a smaller one
	// costs as little as the answer that it has not changed.
	minKept = 1 << 10
	// largestKept is the largest answer that is kept, in bytes.
	largestKept = 2 << 20
	// maxKept is the number of answers that are kept.
	maxKept = 16
)

// kept holds the latest answer of some paths with its entity tag, so that a list
// that has not changed is not sent again (RFC 9110, section 13.1.2). The zero
// value holds none. It is safe for concurrent use. The bodies are shared by all who
// read them and must not be changed.
type kept struct {
	mu      sync.Mutex
	answers map[string]response
}

// condition returns the precondition for a read of a path.
func (k *kept) condition(path string) http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.answers[path]
	if !ok {
		return nil
	}
	return http.Header{"If-None-Match": {r.tag}}
}

// resolve returns the answer that counts: the one that is kept, if the new one
// tells that it has not changed.
func (k *kept) resolve(path string, r response) (response, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.status == http.StatusNotModified {
		old, ok := k.answers[path]
		return old, ok
	}
	k.keep(path, r)
	return r, true
}

// keep replaces what is kept of a path, with k.mu held. When there is no room,
// any other path makes it.
func (k *kept) keep(path string, r response) {
	delete(k.answers, path)
	if r.status != http.StatusOK || r.tag == "" || len(r.body) < minKept || len(r.body) > largestKept {
		return
	}
	if k.answers == nil {
		k.answers = map[string]response{}
	}
	for other := range k.answers {
		if len(k.answers) < maxKept {
			break
		}
		delete(k.answers, other)
	}
	k.answers[path] = r
}
