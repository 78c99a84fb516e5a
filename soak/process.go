package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platform"
)

// stopGrace is the time from SIGTERM until a process is killed, as in the settings.
const stopGrace = 6 * time.Second

// process is an entry host that runs as a restartable process.
type process struct {
	name, ip, settings, logPath string
	// program is the path and the arguments that start the process.
	program []string
	// onCrash is called when the process exits without a request.
	onCrash func(name string, err error)

	mu sync.Mutex
	// command is nil while the process is down; exited is closed when it has exited.
	command *exec.Cmd
	exited  chan struct{}
	// stopRequested reports whether the process was sent a signal that ends it.
	stopRequested bool
	closed        bool
}

// start starts the process unless it is running or closed.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil || p.closed {
		return nil
	}
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Annotatef(err, "log of %s", p.name)
	}
	defer output.Close()
	c := exec.Command(p.program[0], p.program[1:]...)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return errors.Annotatef(err, "starting %s", p.name)
	}
	p.command, p.exited, p.stopRequested = c, make(chan struct{}), false
	go p.wait(c, p.exited)
	return nil
}

func (p *process) wait(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	ending := p.stopRequested
	p.command = nil
	p.mu.Unlock()
	close(done)
	if !ending {
		p.onCrash(p.name, err)
	}
}

// signal sends a signal if the process is running, and returns a channel that is closed
// when the process has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested = true
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		logrus.WithError(err).WithField("host", p.name).Warn("soak: signal not sent")
	}
	return p.exited
}

// kill kills the process and waits for its exit.
func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// terminate ends the process gracefully, or kills it after stopGrace.
func (p *process) terminate() {
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(stopGrace):
		p.kill()
	}
}

// close kills the process and prevents further starts.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
}
