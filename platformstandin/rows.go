package platformstandin

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Limits of the store, according to its protocol and the settings of all deployments. A row's
// value is limited in its encoding, the stricter reading of the protocol.
const (
	maxEncodedRowBytes  = 65536
	maxTransactionRows  = 100
	maxTransactionBytes = 1 << 20
	maxNameBytes        = 200
)

// RowFaults configures the faults that Rows injects. The zero value injects none.
type RowFaults struct {
	// Down makes the store answer every call with 503, without executing it.
	Down bool
	// Refused lists the IP addresses of hosts whose calls are answered with 503.
	Refused []string
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of upcoming transactions that are executed without an
	// answer.
	LoseAnswers int
}

// Rows is an in-memory stand-in for the users' store that implements their published
// protocol. Use NewRows to create one.
type Rows struct {
	mu      sync.Mutex
	rows    map[rowKey]wireRow
	version int64
	// history holds the retained changes in order; droppedVersion is the latest version
	// dropped from it.
	history        []wireRow
	droppedVersion int64
	changed        chan struct{}
	faults         RowFaults
	startedAt      time.Time
}

type rowKey struct{ table, part, key string }

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r wireRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{rows: map[rowKey]wireRow{}, changed: make(chan struct{}), startedAt: time.Now()}
}

// UpdateFaults calls change to modify the injected faults.
func (s *Rows) UpdateFaults(change func(f *RowFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Put writes a row without a part, as the operator or a worker would.
func (s *Rows) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]wireRow{{Table: table, Key: key, Value: encode(value)}}, nil)
}

// Value returns the value of a row without a part, or nil.
func (s *Rows) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decode(s.rows[rowKey{table: table, key: key}].Value)
}

// Remove deletes a row without a part, as the platform would.
func (s *Rows) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []wireRow{{Table: table, Key: key}})
}

// DropHistory drops the history, so that feeds that are behind end with status 410.
func (s *Rows) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Handler returns the interface of the store.
func (s *Rows) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.injectFaults)
	r.Post("/vanillaquay/rows-tx", s.transact)
	r.Get("/vanillaquay/rows-get", s.get)
	r.Get("/vanillaquay/rows-feed", s.feed)
	return r
}

func (s *Rows) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(f.Delay)
		if f.Down || slices.Contains(f.Refused, host) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Rows) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []wireRow `json:"expected"`
		Writes   []wireRow `json:"writes"`
		Remove   []wireRow `json:"remove"`
	}
	body := http.MaxBytesReader(w, r.Body, maxTransactionBytes)
	if err := json.NewDecoder(body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTransactionRows || !withinLimits(t.Writes) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []wireRow
	for _, e := range t.Expected {
		if now := s.rows[e.id()]; now.Ver != e.Ver {
			conflict = append(conflict, now)
		}
	}
	if len(conflict) > 0 {
		s.respond(w, http.StatusPreconditionFailed, conflict, false)
		return
	}
	s.apply(t.Writes, t.Remove)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	s.respond(w, http.StatusOK, nil, false)
}

// withinLimits reports whether the store accepts all rows of a transaction.
func withinLimits(rows []wireRow) bool {
	for _, r := range rows {
		if len(r.Value) > maxEncodedRowBytes || max(len(r.Table), len(r.Part), len(r.Key)) > maxNameBytes {
			return false
		}
	}
	return true
}

// apply executes a transaction and wakes waiting feeds. The caller holds s.mu.
func (s *Rows) apply(writes, removes []wireRow) {
	s.version++
	for _, row := range writes {
		row.Ver = s.version
		s.rows[row.id()] = row
		s.history = append(s.history, row)
	}
	for _, row := range removes {
		delete(s.rows, row.id())
		row.Ver, row.Deleted, row.Value = s.version, true, ""
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Rows) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wireRow
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return cmp.Compare(a.Key, b.Key) })
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], len(rows) > limit)
}

func (s *Rows) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.droppedVersion {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []wireRow
		for _, row := range s.history {
			if row.Ver > after && row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.respond(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Rows) respond(w http.ResponseWriter, status int, rows []wireRow, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.startedAt).Milliseconds()})
}
