package platformstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// listing is a version of the list of hosts, valid from a given time.
type listing struct {
	validFrom time.Time
	hosts     []tablestore.Host
}

// SetHost adds or replaces an entry of the list of hosts.
func (s *Server) SetHost(h tablestore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.ID] = h
	s.recordListing()
}

// RemoveHost removes an entry of the list of hosts.
func (s *Server) RemoveHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
	s.recordListing()
}

// recordListing records the present list of hosts as a new version and drops the oldest
// ones beyond maxListings. The caller holds s.mu.
func (s *Server) recordListing() {
	hosts := []tablestore.Host{}
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b tablestore.Host) int { return strings.Compare(a.ID, b.ID) })
	s.listings = append(s.listings, listing{validFrom: time.Now(), hosts: hosts})
	if len(s.listings) > maxListings {
		s.listings = slices.Delete(s.listings, 0, len(s.listings)-maxListings)
	}
}

// laggedHosts returns the list of hosts as it was HostsLag ago, or the oldest version
// retained.
func (s *Server) laggedHosts() []tablestore.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := []tablestore.Host{}
	for i, l := range s.listings {
		if i == 0 || time.Since(l.validFrom) >= s.faults.HostsLag {
			hosts = l.hosts
		}
	}
	return hosts
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	writeTagged(w, r, s.laggedHosts())
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var h tablestore.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.ID = chi.URLParam(r, "id")
	s.SetHost(h)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteHost(w http.ResponseWriter, r *http.Request) {
	s.RemoveHost(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}
