package platformstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// SetFaults replaces the faults.
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

// delayAnswer holds the answer to a call back that has been carried out. What was
// written of it so far waits in the buffer of the server.
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

// serveWithLoss lets the write take effect and then, if told so, breaks the
// connection in place of an answer.
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

// hang never answers a request. Its body is read so that the end of the
// connection is noticed.
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

// discardWriter is a ResponseWriter whose answer is lost.
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
