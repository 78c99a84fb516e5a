package platformstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) injectDelay(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d := s.currentFaults().Delay; d > 0 && !strings.HasPrefix(r.URL.Path, "/standin") {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// delayAnswer delays the answer to a call that has been executed. The part of it that
// was already written stays in the server's buffer.
func delayAnswer(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (s *Server) injectTableFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.currentFaults().TableDown {
			http.Error(w, "table is down", http.StatusServiceUnavailable)
			return
		}
		if s.currentFaults().TableHangs {
			hang(r)
		}
		if r.Method != http.MethodGet && !s.admitWrite() {
			http.Error(w, "too many writes", http.StatusTooManyRequests)
			return
		}
		s.serveWithLoss(next, w, r)
	})
}

func (s *Server) injectObjectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.currentFaults().ObjectsDown {
			http.Error(w, "object store is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveWithLoss serves a call and counts reads. For a write it injects the faults that
// follow its execution: a hang, a delay, or a closed connection instead of an answer.
func (s *Server) serveWithLoss(next http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
		next.ServeHTTP(w, r)
		return
	}
	if s.currentFaults().WritesHang {
		next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		hang(r)
	}
	if !s.consumeAnswerLoss() {
		next.ServeHTTP(w, r)
		delayAnswer(r, s.currentFaults().WriteDelay)
		return
	}
	next.ServeHTTP(discardWriter{header: http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

// hang leaves a request unanswered until its connection ends. The server detects that
// only after the body has been read.
func hang(r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) consumeAnswerLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) admitWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.writesInSecond = now, 0
	}
	if s.faults.WritesPerSecond > 0 && s.writesInSecond >= s.faults.WritesPerSecond {
		return false
	}
	s.writesInSecond++
	s.writes++
	s.peakWrites = max(s.peakWrites, s.writesInSecond)
	return true
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header { return d.header }

func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (d discardWriter) WriteHeader(int) {}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
