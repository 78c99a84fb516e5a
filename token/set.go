package token

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// schemePrefix is the prefix of the Authorization header with a bearer token.
const schemePrefix = "Bearer "

// Set holds the tokens of teams or operators by name. The zero value accepts no token.
type Set struct {
	// hashes holds the SHA-256 of each token, so that a comparison takes the same time for
	// any token length.
	hashes map[string][sha256.Size]byte
}

// NewSet returns a set of tokens by the name of their holder. It skips empty tokens.
func NewSet(tokens map[string]string) Set {
	s := Set{hashes: map[string][sha256.Size]byte{}}
	for name, t := range tokens {
		if t != "" {
			s.hashes[name] = sha256.Sum256([]byte(t))
		}
	}
	return s
}

// Holder returns the holder of the request's token, or false if there is none. It compares
// every token in constant time.
func (s Set) Holder(r *http.Request) (string, bool) {
	sent, ok := strings.CutPrefix(r.Header.Get("Authorization"), schemePrefix)
	if !ok {
		return "", false
	}
	hash := sha256.Sum256([]byte(sent))
	holder, found := "", false
	for name, want := range s.hashes {
		if subtle.ConstantTimeCompare(hash[:], want[:]) == 1 {
			holder, found = name, true
		}
	}
	return holder, found
}

type holderKey struct{}

// Require returns middleware that passes on requests with a valid token and calls refuse
// for all others.
func (s Set) Require(refuse http.HandlerFunc) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			holder, ok := s.Holder(r)
			if !ok {
				refuse(w, r)
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holderKey{}, holder)))
		})
	}
}

// HolderOf returns the holder that Require identified, or "" if there is none.
func HolderOf(r *http.Request) string {
	holder, _ := r.Context().Value(holderKey{}).(string)
	return holder
}
