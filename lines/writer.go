package lines

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/vanillaquay/vanillaquay/ring"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// bufferSize is the size of the output buffer, in bytes.
	bufferSize = 16 << 10
)

// Writer writes whole lines, one per call of Write. Create one with New.
type Writer struct {
	queue    *ring.Ring[[]byte]
	dropped  atomic.Int64
	out      *bufio.Writer
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{queue: ring.New[[]byte](maxQueuedLines), out: bufio.NewWriterSize(out, bufferSize), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks or fails: a line that finds the queue full is
// dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.queue.TryPut(append([]byte(nil), line...)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue.Values():
			w.writeLine(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// writeLine writes a line and the number of lines dropped before it, and flushes the buffer
// once the queue is empty.
func (w *Writer) writeLine(line []byte) {
	// An error means that nobody reads the log.
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"lines: dropped\",\"count\":%d}\n", n)
	}
	if w.queue.Depth() == 0 {
		_ = w.out.Flush()
	}
}

func (w *Writer) drain() {
	for w.queue.Depth() > 0 {
		w.writeLine(<-w.queue.Values())
	}
	_ = w.out.Flush()
}
