package workerstandin

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/docker/go-units"

	"github.com/vanillaquay/vanillaquay/task"
)

// Command is the command line of the stand-in.
type Command struct {
	Worker       []string `required:"" help:"Worker as name=address; may be given more than once."`
	Processors   int64    `default:"16" help:"Processors of each worker."`
	Memory       string   `default:"32GiB" help:"Memory of each worker."`
	Accelerators int64    `help:"Accelerators of each worker."`
	Slots        int64    `default:"8" help:"Long tasks of each worker."`
	Journal      string   `help:"File to which a line is added for each start and end."`
	Connections  int64    `default:"64" help:"Requests in flight of each worker."`
}

// Run serves until a listener fails.
func (c Command) Run() error {
	memory, err := units.RAMInBytes(c.Memory)
	if err != nil {
		return err
	}
	capacity := task.Size{
		Processors: c.Processors * task.Processor, Memory: memory, Accelerators: c.Accelerators,
		Slots: c.Slots, Connections: c.Connections,
	}
	journal, err := c.openJournal()
	if err != nil {
		return err
	}
	var checkpoints Checkpoints
	failed := make(chan error)
	for _, w := range c.Worker {
		name, address, ok := strings.Cut(w, "=")
		if !ok {
			return fmt.Errorf("worker %q is not name=address", w)
		}
		agent := New(name, capacity)
		agent.SetJournal(journal)
		agent.SetCheckpoints(&checkpoints)
		s := &http.Server{Addr: address, Handler: agent.Handler(), ReadHeaderTimeout: 5 * time.Second}
		go func() { failed <- s.ListenAndServe() }()
	}
	return <-failed
}

// openJournal opens the journal's file for appending. Without a file it returns a
// writer that discards the lines.
func (c Command) openJournal() (io.Writer, error) {
	if c.Journal == "" {
		return io.Discard, nil
	}
	return os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
