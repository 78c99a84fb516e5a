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

// maxListings bounds the number of retained versions of the list of hosts, which
// Faults.HostsLag may reach back to.
const maxListings = 1024

// Faults configures the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// TableDown makes the table answer every call with 503, without executing it.
	TableDown bool
	// ObjectsDown makes the object store answer every call with 503, without
	// executing it.
	ObjectsDown bool
	// TableHangs makes the table accept requests and neither execute nor answer
	// them.
	TableHangs bool
	// WritesHang makes the table execute writes and never answer them.
	WritesHang bool
	// Delay is added to every call, in nanoseconds.
	Delay time.Duration
	// ReadDelay delays the answer to a read of a row after the row was read, in
	// nanoseconds, so that the answer may be stale.
	ReadDelay time.Duration
	// WriteDelay delays the answer to a write of a row after the write was
	// executed, in nanoseconds.
	WriteDelay time.Duration
	// HostsLag delays the visibility of changes to the list of hosts, in
	// nanoseconds.
	HostsLag time.Duration
	// LoseAnswers is the number of upcoming writes that are executed, but whose
	// connection is closed instead of an answer.
	LoseAnswers int
	// WritesPerSecond limits the rate of writes. The table answers those above it
	// with 429, without executing them. 0 means no limit.
	WritesPerSecond int
}

// Server is the stand-in. Use New to create one.
type Server struct {
	mu      sync.Mutex
	rows    map[string]tablestore.Row
	objects map[string][]byte
	hosts   map[string]tablestore.Host
	// listings holds the retained versions of the list of hosts, oldest first.
	listings    []listing
	lastVersion tablestore.Version
	faults      Faults
	// writesInSecond counts the writes within currentSecond, a Unix time.
	currentSecond  int64
	writesInSecond int
	// writes, reads and peakWrites are reported in Counts.
	writes, reads int64
	peakWrites    int
}

// Counts holds the numbers of calls that the table has served.
type Counts struct {
	Writes, Reads int64
	// PeakWrites is the largest number of writes in one second.
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

// Handler serves the platform's services, and under /standin the controls of the
// stand-in.
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

// Counts returns the numbers of calls served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Writes: s.writes, Reads: s.reads, PeakWrites: s.peakWrites}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

// writeTagged answers with a value as JSON and its entity tag, or with 304 if the
// client already has that tag.
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
