package platformstandin

import (
	"io"
	"net/http"
)

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(data)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[keyOf(r)] = data
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delete(s.objects, keyOf(r))
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
