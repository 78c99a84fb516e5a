package platformstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// maxListings bounds the past listings that a lag may reach back to.
const maxListings = 1024

// Faults tells how the stand-in misbehaves. The zero value is no fault.
type Faults struct {
	// TableDown makes the table answer 503 without any effect.
	TableDown bool
	// ObjectsDown makes the object store answer 503 without any effect.
	ObjectsDown bool
	// TableHangs makes the table take requests and never answer them. Writes
	// have no effect.
	TableHangs bool
	// WritesHang makes the table apply writes and never answer them.
	WritesHang bool
	// Delay is added to every call, in nanoseconds.
	Delay time.Duration
	// ReadDelay is by how much later than it was made the answer to a read of a
	// row goes out, in nanoseconds: what it tells may be out of date by then.
	ReadDelay time.Duration
	// WriteDelay is by how much later than it took effect a write of a row is
	// answered, in nanoseconds.
	WriteDelay time.Duration
	// HostsLag is by how long changes of the list of hosts show late, in
	// nanoseconds.
	HostsLag time.Duration
	// LoseAnswers is the number of writes to come that take effect and are
	// answered by a closed connection.
	LoseAnswers int
	// WritesPerSecond is the limit on writes, over which the table answers
	// 429 without any effect; 0 is no limit.
	WritesPerSecond int
}

// Server is the stand-in. Use New to make one.
type Server struct {
	mu      sync.Mutex
	rows    map[string]tablestore.Row
	objects map[string][]byte
	hosts   map[string]tablestore.Host
	// listings holds the list of hosts as it was at past times, oldest first; the
	// last is the present one.
	listings    []listing
	lastVersion tablestore.Version
	faults      Faults
	// currentSecond and inSecond count the writes of the current second.
	currentSecond  int64
	writesInSecond int
	// writes, reads and peak count calls for Counts.
	writes, reads int64
	peakWrites    int
}

// Counts is what the stand-in has served.
type Counts struct {
	Writes, Reads int64
	// PeakWrites is the most writes in one second.
	PeakWrites int
}

// New returns an empty stand-in.
func New() *Server {
	return &Server{
		rows:    map[string]tablestore.Row{},
		objects: map[string][]byte{},
		hosts:   map[string]tablestore.Host{},
	}
}

// Handler serves the platform's services, and under /standin the switches.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.injectDelay)
	r.Route("/table", func(r chi.Router) {
		r.Use(s.injectTableFaults)
		r.Get("/", s.listRows)
		r.Get("/{key}", s.getRow)
		r.Put("/{key}", s.putRow)
		r.Delete("/{key}", s.deleteRow)
	})
	r.Route("/objects", func(r chi.Router) {
		r.Use(s.injectObjectFaults)
		r.Get("/{key}", s.getObject)
		r.Put("/{key}", s.putObject)
		r.Delete("/{key}", s.deleteObject)
	})
	r.Get(tablestore.HostsPath, s.listHosts)
	r.Put(tablestore.HostsPath+"/{id}", s.putHost)
	r.Delete(tablestore.HostsPath+"/{id}", s.deleteHost)
	r.Put("/standin/faults", s.putFaults)
	r.Get("/standin/counts", s.getCounts)
	return r
}

// Counts returns what was served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Writes: s.writes, Reads: s.reads, PeakWrites: s.peakWrites}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

// writeTagged answers with a value as JSON, or that it is the one whose entity
// tag the reader has.
func writeTagged(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := tablestore.FormatTag(tablestore.Version(xxhash.Sum64(data)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return
	}
}
