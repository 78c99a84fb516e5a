package platformstandin

import (
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err != nil {
		return chi.URLParam(r, "key")
	}
	return key
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.rows[keyOf(r)]
	s.mu.Unlock()
	delayAnswer(r, s.currentFaults().ReadDelay)
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	tag := tablestore.FormatTag(row.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(row.Value)
}

func (s *Server) putRow(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(r)
	if !s.matches(r, key) {
		http.Error(w, "row has another version", http.StatusPreconditionFailed)
		return
	}
	s.lastVersion++
	s.rows[key] = tablestore.Row{Key: key, Version: s.lastVersion, Value: value}
	w.Header().Set("ETag", tablestore.FormatTag(s.lastVersion))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) deleteRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(r)
	if !s.matches(r, key) {
		http.Error(w, "row has another version", http.StatusPreconditionFailed)
		return
	}
	delete(s.rows, key)
	w.WriteHeader(http.StatusNoContent)
}

// matches reports whether the precondition of a write holds. The caller holds s.mu.
func (s *Server) matches(r *http.Request, key string) bool {
	row, ok := s.rows[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !ok
	}
	if tag := r.Header.Get("If-Match"); tag != "" {
		return ok && tablestore.FormatTag(row.Version) == tag
	}
	return true
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.list(query.Get("prefix"), query.Get("after"), limit)
	writeTagged(w, r, rows)
}
