package platformstandin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Fleet is a stand-in for the users' machine service. Use NewFleet to create one.
type Fleet struct {
	// Length is how long upkeep takes a machine down. Restart, unless nil, is called
	// when the machine comes back.
	Length  time.Duration
	Restart func(machine string)
	// TurnPause is the minimum time between orders of different lease holders for a
	// machine. A shorter time is recorded as a fault.
	TurnPause time.Duration

	mu       sync.Mutex
	machines map[string]*fleetMachine
	// maxDown is the largest number of machines down at once so far.
	maxDown int
	// answersToLose is the number of upcoming orders to execute without an answer.
	answersToLose int
	faults        []string
}

type fleetMachine struct {
	worker        string
	down          bool
	upkeepStarted map[int64]bool
	lastOrder     upkeepOrder
}

// upkeepOrder is an order for the upkeep of a machine.
type upkeepOrder struct {
	holder string
	token  int64
	at     time.Time
}

// NewFleet returns a fleet without machines.
func NewFleet(length time.Duration) *Fleet {
	return &Fleet{Length: length, machines: map[string]*fleetMachine{}}
}

// Add adds a machine that runs the given worker.
func (f *Fleet) Add(machine, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[machine] = &fleetMachine{worker: worker, upkeepStarted: map[int64]bool{}}
}

// LoseAnswers makes the fleet execute the next n orders without answering them.
func (f *Fleet) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// MaxDown returns the largest number of machines down at once so far.
func (f *Fleet) MaxDown() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxDown
}

// UpkeepStarted reports whether the upkeep of a machine for a wave has started.
func (f *Fleet) UpkeepStarted(machine string, wave int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[machine].upkeepStarted[wave]
}

// Faults returns descriptions of the violations seen so far, in order.
func (f *Fleet) Faults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.faults)
}

// checkOrder records a fault if two holders use the same fencing token, if a token is older
// than the last one, or if the holder changes within TurnPause. The caller holds f.mu.
func (f *Fleet) checkOrder(machine string, last, next upkeepOrder) {
	other := last.holder != "" && last.holder != next.holder
	switch {
	case other && last.token == next.token:
		f.faults = append(f.faults, fmt.Sprintf("ONE: %s and %s with token %d for %s", last.holder, next.holder, next.token, machine))
	case next.token < last.token:
		f.faults = append(f.faults, fmt.Sprintf("ONE: token %d of %s after %d for %s", next.token, next.holder, last.token, machine))
	case other && next.at.Sub(last.at) < f.TurnPause:
		f.faults = append(f.faults, fmt.Sprintf("ONE: %s %s after %s for %s", next.holder, next.at.Sub(last.at), last.holder, machine))
	}
}

// Handler returns the interface of the service.
func (f *Fleet) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/vanillaquay/machines", f.list)
	r.Post("/vanillaquay/machine-upkeep", f.upkeep)
	return r
}

func (f *Fleet) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type row struct {
		Machine string `json:"machine"`
		State   string `json:"state"`
		ID      string `json:"id"`
	}
	rows := []row{}
	for id, m := range f.machines {
		state := "up"
		if m.down {
			state = "upkeep"
		}
		rows = append(rows, row{id, state, m.worker})
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Machine, b.Machine) })
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": nil})
}

func (f *Fleet) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, tokenErr := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	next := upkeepOrder{holder: r.Header.Get("Lease-Holder"), token: token, at: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || tokenErr != nil || next.holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[order.Machine]
	if m != nil {
		f.checkOrder(order.Machine, m.lastOrder, next)
		m.lastOrder = next
	}
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.upkeepStarted[order.Wave]:
		return
	case m.down:
		w.WriteHeader(http.StatusConflict)
		// An error here means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": "busy"})
		return
	}
	f.takeDown(order.Machine, m, order.Wave)
	if f.answersToLose > 0 {
		f.answersToLose--
		panic(http.ErrAbortHandler)
	}
}

func (f *Fleet) takeDown(id string, m *fleetMachine, wave int64) {
	m.down, m.upkeepStarted[wave] = true, true
	down := 0
	for _, each := range f.machines {
		if each.down {
			down++
		}
	}
	f.maxDown = max(f.maxDown, down)
	time.AfterFunc(f.Length, func() {
		if f.Restart != nil {
			f.Restart(id)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		m.down = false
	})
}
