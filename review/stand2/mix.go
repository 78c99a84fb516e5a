package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

type mixJob struct {
	id, path  string
	spec      behaviour
	steps     []platformstandin.Step
	lasts     bool
	first     int64
	interval  int64
	repeats   int
	budget    int
	failing   bool
	accepted  bool
	rejected  bool // all attempts were rejected
	cancelled time.Time
}

// mixed plays random jobs and disruptions; it is not a case.
func mixed(p play) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	all := []platformstandin.Queue{{Name: "plain", Attempts: 3}, {Name: "advised", Attempts: 3, Advised: true}}
	workers, _ := strconv.Atoi(os.Getenv("WORKERS"))
	cpu := int64(4000)
	if workers == 0 {
		workers, cpu = 8, 16000
	}
	w, err := openWorld(options{hosts: 4, workers: workers, cpu: cpu, queues: all}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	jobs := map[string]*mixJob{}
	w.judge.check = func(task string, run int) string {
		mu.Lock()
		defer mu.Unlock()
		parts := strings.Split(task, ".")
		j := jobs[parts[0]]
		if j == nil {
			return "UNASKED: " + task
		}
		k, _ := strconv.Atoi(parts[1])
		s, _ := strconv.Atoi(parts[2])
		if j.repeats > 0 {
			if due := j.first + int64(k)*j.interval; time.Now().UnixMilli() < due-250 {
				return fmt.Sprintf("ORDER: %s starts %d ms before its time", task, due-time.Now().UnixMilli())
			}
		}
		for _, a := range j.steps[s].After {
			for i := range j.steps[a].Tasks {
				if w.judge.task(fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i)).doneAt.IsZero() {
					return fmt.Sprintf("ORDER: %s starts before step %d is done", task, a)
				}
			}
		}
		if j.rejected {
			return "REFUSED: " + task + " starts though all attempts were rejected"
		}
		if !j.cancelled.IsZero() && time.Since(j.cancelled) > 4*time.Second {
			return fmt.Sprintf("UNASKED: %s starts %s after the ack of the cancelling", task, time.Since(j.cancelled))
		}
		if !j.lasts && w.judge.task(task).failed >= 3 && os.Getenv("ROUTES") == "" {
			return fmt.Sprintf("BUDGET: %s run %d", task, run)
		}
		return ""
	}
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	submit := func(n int, r *rand.Rand) {
		id := fmt.Sprintf("%012x%04x", seed&0xffff, n)
		j := &mixJob{id: id, path: "/" + all[r.IntN(2)].Name + "/" + id}
		cpu := int64(500 + r.IntN(4)*1000)
		j.spec = behaviour{CPU: cpu, RunMS: int64(100 + r.IntN(3000)), StepMS: int64(r.IntN(200))}
		tasks := 1 + r.IntN(6)
		switch v := r.IntN(60); {
		case v < 2:
			j.lasts = true
			j.spec.Lasts = true
			j.spec.Failing = r.IntN(3)
		case v < 7:
			j.repeats, j.interval, j.first = 2+r.IntN(4), int64(500+r.IntN(2500)), time.Now().UnixMilli()+int64(r.IntN(5000))
		case v < 12:
			j.spec.Failing = 100
			j.failing = true
		case v < 20:
			j.spec.Failing = 1 + r.IntN(2)
		case v < 25:
			tasks = 33 + r.IntN(40)
			j.spec.CPU, cpu = 250, 250
		}
		j.steps = []platformstandin.Step{{Tasks: tasks, Processors: cpu, EstimateMS: j.spec.RunMS}}
		if !j.lasts && r.IntN(2) == 0 {
			j.steps = append(j.steps, platformstandin.Step{Tasks: 1 + r.IntN(4), Processors: cpu, EstimateMS: j.spec.RunMS, After: []int{0}})
		}
		mu.Lock()
		jobs[id] = j
		mu.Unlock()
		ok, rejected := w.submitOnce(j, r)
		mu.Lock()
		j.accepted, j.rejected = ok, rejected
		mu.Unlock()
		if ok && (j.lasts && r.IntN(3) == 0 || r.IntN(8) == 0) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
				for range 30 {
					status, _ := w.call(r.IntN(len(w.hosts)), http.MethodDelete, j.path, nil)
					if status == 200 || status == 410 {
						mu.Lock()
						j.cancelled = time.Now()
						mu.Unlock()
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			}()
		}
	}
	for c := range 6 {
		wg.Add(1)
		cr := rand.New(rand.NewPCG(seed, uint64(100+c)))
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end.Add(-10 * time.Second)); n++ {
				submit(c*1000+n, cr)
				time.Sleep(time.Duration(700+cr.IntN(2500)) * time.Millisecond)
			}
		}()
	}
	// Services with a budget, and waves of upkeep.
	for n := range 3 {
		id := fmt.Sprintf("%012x%04x", seed&0xffff, 0xf000+n)
		j := &mixJob{id: id, path: "/plain/" + id, lasts: true, budget: 1 + n%2, spec: behaviour{CPU: 1500, Lasts: true}, steps: []platformstandin.Step{{Tasks: 4, Processors: 1500}}}
		mu.Lock()
		jobs[id] = j
		mu.Unlock()
		w.judge.mu.Lock()
		w.judge.budgets[id] = budget{tasks: 4, mayMiss: j.budget}
		w.judge.mu.Unlock()
		ok, rejected := w.submitOnce(j, r)
		mu.Lock()
		j.accepted, j.rejected = ok, rejected
		mu.Unlock()
	}
	go func() {
		for n := 1; time.Now().Before(end.Add(-15 * time.Second)); n++ {
			time.Sleep(4 * time.Second)
			var machines []string
			for i := range w.workers {
				if i%2 == n%2 {
					machines = append(machines, fmt.Sprintf("m%d", i))
				}
			}
			w.wave(int64(n), machines, 2, 20)
			time.Sleep(8 * time.Second)
		}
	}()
	for time.Now().Before(end.Add(-12*time.Second)) && p.trouble {
		w.disturb(r)
		time.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Until(end.Add(14 * time.Second)))
	var broken []string
	for id, j := range jobs {
		if !j.accepted {
			continue
		}
		state := ""
		for n := range 5 {
			if state = w.state((n)%len(w.hosts), j.path); state != "0" && state != "503" && state != "504" {
				break
			}
		}
		want := map[string]bool{"done": true, "running": true, "queued": true}
		if j.failing {
			want = map[string]bool{"failed": true, "running": true, "queued": true}
		}
		if !j.cancelled.IsZero() {
			want = map[string]bool{"cancelled": true, "done": !j.lasts, "failed": j.failing}
		}
		if j.lasts && j.cancelled.IsZero() {
			want = map[string]bool{"running": true}
		}
		if !want[state] {
			broken = append(broken, fmt.Sprintf("LOST/MIXED: job %s is %s", id, state))
		}
		if state == "done" {
			occ := max(1, j.repeats)
			for k := range occ {
				for s, st := range j.steps {
					for i := range st.Tasks {
						if w.judge.history(fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)).doneAt.IsZero() {
							broken = append(broken, fmt.Sprintf("MIXED: job %s is done but task %d.%d.%d is not", id, k, s, i))
						}
					}
				}
			}
		}
		if state == "running" || state == "queued" {
			p.log.add("note: job %s is %s at the end, lasts %t", id, state, j.lasts)
		}
	}
	return append(broken, w.judge.broken()...), nil
}

func (w *world) submitOnce(j *mixJob, r *rand.Rand) (ok, rejected bool) {
	document := jobDocument(j)
	rejected = true
	for range 8 {
		status, _ := w.call(r.IntN(len(w.hosts)), http.MethodPost, j.path, document)
		switch status {
		case 200:
			return true, false
		case 429, 503:
			if r.IntN(3) > 0 && rejected {
				return false, true
			}
		default:
			rejected = false
		}
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
	return false, rejected
}

func (w *world) disturb(r *rand.Rand) {
	host := r.IntN(len(w.hosts))
	if o := w.owner(); o >= 0 && r.IntN(3) > 0 {
		host = o
	}
	back := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	switch r.IntN(15) {
	case 14:
		for i := range w.hosts {
			w.signal(i, syscall.SIGKILL)
			<-w.hosts[i].done
		}
		time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
		for i := range w.hosts {
			_ = w.start(i)
		}
	case 0, 1:
		w.signal(host, syscall.SIGKILL)
		<-w.hosts[host].done
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		_ = w.start(host)
	case 2:
		w.signal(host, syscall.SIGTERM)
		<-w.hosts[host].done
		_ = w.start(host)
	case 3, 4:
		w.signal(host, syscall.SIGSTOP)
		time.Sleep(time.Duration(300+r.IntN(4000)+r.IntN(2)*r.IntN(8000)) * time.Millisecond)
		w.signal(host, syscall.SIGCONT)
	case 5:
		w.signal(host, syscall.SIGHUP)
	case 6, 7:
		k := w.workers[r.IntN(len(w.workers))]
		k.crash(r.IntN(2) == 0)
		back(time.Duration(100+r.IntN(5000))*time.Millisecond, func() {
			k.mu.Lock()
			k.boot()
			k.mu.Unlock()
			w.log.add("worker %s is up", k.id)
			w.announce(k)
		})
	case 8:
		w.log.add("store: down")
		w.store.UpdateFaults(func(f *platformstandin.RowFaults) { f.Down = true })
		time.Sleep(time.Duration(500+r.IntN(3000)+r.IntN(2)*r.IntN(12000)) * time.Millisecond)
		w.store.UpdateFaults(func(f *platformstandin.RowFaults) { f.Down = false })
		w.log.add("store: up")
	case 10:
		w.log.add("cloud: slow")
		w.cloud.mu.Lock()
		w.cloud.delay = 1200 * time.Millisecond
		w.cloud.mu.Unlock()
		back(6*time.Second, func() {
			w.cloud.mu.Lock()
			w.cloud.delay = 0
			w.cloud.mu.Unlock()
		})
	case 11:
		w.log.add("cloud: loses answers")
		w.cloud.mu.Lock()
		w.cloud.lose = 1 + r.IntN(3)
		w.cloud.mu.Unlock()
	case 12:
		w.log.add("%d connections of %s to the store go silent", w.storeLinks[host].silence(""), w.hosts[host].name)
	case 13:
		if os.Getenv("ROUTES") == "" {
			return
		}
		w.log.add("route off and on")
		_ = w.setQueues([]platformstandin.Queue{{Name: "plain", Attempts: 3}})
		back(time.Duration(500+r.IntN(3000))*time.Millisecond, func() {
			_ = w.setQueues([]platformstandin.Queue{{Name: "plain", Attempts: 3}, {Name: "advised", Attempts: 3, Advised: true}})
		})
	case 9:
		w.log.add("store: loses answers, drops its history")
		w.store.UpdateFaults(func(f *platformstandin.RowFaults) { f.LoseAnswers = 1 + r.IntN(6) })
		w.store.DropHistory()
	}
}
