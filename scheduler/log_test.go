package scheduler_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/lines"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

// jsonLog returns a logger configured like that of a host.
func jsonLog(out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return logger.WithField("host", "entry-7")
}

// startNote is a note of typical size.
var startNote = cell.LogEntry{Event: "start", Job: "0123456789abcdef", Task: "0123456789abcdef.0.1.17", Run: 2, Worker: "batch-017", Reason: "least busy of 3", Age: 12 * time.Millisecond}

// BenchmarkNote measures the cost of logging one decision.
func BenchmarkNote(b *testing.B) {
	out := lines.New(io.Discard)
	defer out.Close()
	o := scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, nil, nil, jsonLog(out))
	notes := []cell.LogEntry{startNote}
	b.ReportAllocs()
	for b.Loop() {
		o.LogNotes(notes)
	}
}
