package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
)

// Parameters of the demo.
const (
	// requests is the number of requests, one every requestInterval.
	requests        = 24
	requestInterval = 250 * time.Millisecond
	// requestTimeout is the time from a request's submission to its deadline.
	requestTimeout = 6 * time.Second
	// hostStopIndex and workerLossIndex are the requests before which an entry
	// host is stopped and a worker is lost.
	hostStopIndex   = 6
	workerLossIndex = 9
	// startTimeout bounds the start of the cell.
	startTimeout = 8 * time.Second
)

// size is the size of every task.
var size = quantity.Size{Processors: 1, Memory: quantity.Bytes(256 * task.Mebibyte)}

// scenario is one run of the demo.
type scenario struct {
	started time.Time
	// outMutex serialises the writes of lines to out.
	outMutex sync.Mutex
	out      io.Writer
	cell     *cell
	callers  *callers
	// stopped is closed once the stopping entry host has stopped.
	stopped chan struct{}
	stopErr error
}

// Run runs the demo and returns an error if a check fails. The logs of the
// entry hosts are written to logs.
func Run(out, logs io.Writer) error {
	log := logrus.New()
	log.SetOutput(logs)
	cell, err := startCell(log)
	if err != nil {
		return err
	}
	defer cell.close()
	s := &scenario{out: out, started: time.Now(), cell: cell, callers: newCallers(cell), stopped: make(chan struct{})}
	s.printf("%d entry hosts, %d workers and a platform start on loopback", entryHosts, workers)
	if err := s.warmUp(); err != nil {
		return err
	}
	if err := s.runLoad(); err != nil {
		return err
	}
	return s.finish()
}

func (s *scenario) printf(format string, args ...any) {
	s.outMutex.Lock()
	defer s.outMutex.Unlock()
	fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// warmUp waits until requests succeed through every entry host.
func (s *scenario) warmUp() error {
	limit := time.Now().Add(startTimeout)
	for i := range entryHosts {
		for try := 0; ; try++ {
			w := request(fmt.Sprintf("warm-%d-%d", i, try), true)
			answer, err := s.callers.await(w, i)
			if err == nil && answer.State == task.Ran {
				break
			}
			if time.Now().After(limit) {
				return errors.Errorf("the cell is not up: %v %s", err, answer.Reason)
			}
		}
	}
	s.printf("work runs through every entry host")
	return nil
}

// runLoad submits work of every kind, stops an entry host and loses a worker.
func (s *scenario) runLoad() error {
	s.callers.submit(caller.Work{ID: "lookup", Kind: task.Service, Tasks: 3, Size: size, Idempotent: true})
	for i := range 4 {
		s.callers.submit(caller.Work{
			ID: fmt.Sprintf("nightly-%d", i+1), Kind: task.Batch, Tasks: 1, Size: size, Idempotent: true,
			RunTime: quantity.Duration(time.Duration(i+2) * time.Second), Payload: []byte("reconciled"),
		})
	}
	s.callers.submit(caller.Work{
		ID: "preview", Kind: task.AllAtOnce, Tasks: 6, Size: size, Idempotent: true,
		RunTime: quantity.Duration(2 * time.Second), Payload: []byte("stars"),
	})
	s.printf("a service, 4 batch runs and an all-at-once job are submitted; %d requests follow", requests)
	for i := range requests {
		switch i {
		case hostStopIndex:
			s.stopHost("e2")
		case workerLossIndex:
			if err := s.loseWorker(s.cell.history.busiestWorker()); err != nil {
				return err
			}
		}
		s.callers.submit(request(fmt.Sprintf("hold-%02d", i+1), i%2 == 0))
		time.Sleep(requestInterval)
	}
	return nil
}

// request returns a request with a payload of its own.
func request(id string, idempotent bool) caller.Work {
	return caller.Work{
		ID: id, Kind: task.Request, Tasks: 1, Size: size, Idempotent: idempotent,
		RunTime: quantity.Duration(100 * time.Millisecond), Deadline: time.Now().Add(requestTimeout), Payload: []byte("answer to " + id),
	}
}

// stopHost stops an entry host in the background.
func (s *scenario) stopHost(name string) {
	s.printf("entry host %s is told to stop", name)
	s.callers.removeHost(name)
	go func() {
		defer close(s.stopped)
		s.stopErr = s.cell.stopHost(name)
		s.printf("entry host %s has stopped; the others own its work", name)
	}()
}

func (s *scenario) loseWorker(name string) error {
	s.printf("worker %s is lost with all that ran there; an empty one takes its place", name)
	return s.cell.replaceWorker(name)
}

// finish waits for the outstanding answers, cancels the service and reports the
// checks.
func (s *scenario) finish() error {
	<-s.stopped
	answer, err := s.callers.cancel("lookup")
	if err != nil {
		return errors.Annotate(err, "cancel of the service")
	}
	s.printf("the service is ended: %s", answer.State)
	s.callers.wait.Wait()
	s.printf("every caller has its answer")
	submissions := s.callers.all()
	all := checks(s.cell.history, submissions)
	stop := check{name: "an entry host that stops ends without an error"}
	if s.stopErr != nil {
		stop.fault = s.stopErr.Error()
	}
	if failed := report(s.out, s.cell.history, submissions, append(all, stop)); failed > 0 {
		return errors.Errorf("%d checks failed", failed)
	}
	return nil
}

// hostName returns the name of the entry host with the given index.
func hostName(i int) string { return fmt.Sprintf("e%d", i+1) }
