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

// Fleet is a stand-in of the users' service of machines. Use NewFleet to make one.
type Fleet struct {
	// Length is how long a machine is down, Restart is called as it comes back.
	Length  time.Duration
	Restart func(machine string)
	// TurnPause is how long after the order of one holder none of another may come.
	TurnPause time.Duration

	mu       sync.Mutex
	machines map[string]*fleetMachine
	// maxDown is the largest number of machines that were down at once.
	maxDown       int
	answersToLose int
	faults        []string
}

type fleetMachine struct {
	worker     string
	down       bool
	upkeepDone map[int64]bool
	lastOrder  upkeepOrder
}

// upkeepOrder is the last order for a machine.
type upkeepOrder struct {
	holder string
	token  int64
	at     time.Time
}

// NewFleet returns a fleet without machines.
func NewFleet(length time.Duration) *Fleet {
	return &Fleet{Length: length, machines: map[string]*fleetMachine{}}
}

// Add adds a machine with its worker.
func (f *Fleet) Add(machine, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[machine] = &fleetMachine{worker: worker, upkeepDone: map[int64]bool{}}
}

// LoseAnswers makes the fleet carry a number of orders out without an answer.
func (f *Fleet) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// MaxDown returns the largest number of machines that were down at once.
func (f *Fleet) MaxDown() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxDown
}

// UpkeepDone reports whether a machine has had its upkeep for a wave.
func (f *Fleet) UpkeepDone(machine string, wave int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[machine].upkeepDone[wave]
}

// Faults returns what should not have happened.
func (f *Fleet) Faults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.faults)
}

// checkOrder notes holders that share a token, come back with an older one, or take turns
// too soon. The caller holds f.mu.
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
	// An error here means that the caller has gone.
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
	case m.upkeepDone[order.Wave]:
		return
	case m.down:
		w.WriteHeader(http.StatusConflict)
		// An error here means that the caller has gone.
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
	m.down, m.upkeepDone[wave] = true, true
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
