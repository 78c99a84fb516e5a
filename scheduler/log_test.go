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

// startEntry is a log entry of typical size.
var startEntry = cell.LogEntry{Event: "start", Job: "0123456789abcdef", Task: "0123456789abcdef.0.1.17", Run: 2, Worker: "batch-017", Reason: "least busy of 3", Age: 12 * time.Millisecond}

// BenchmarkLogEntry measures the cost of logging one decision.
func BenchmarkLogEntry(b *testing.B) {
	out := lines.New(io.Discard)
	defer out.Close()
	o := scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, nil, nil, jsonLog(out))
	entries := []cell.LogEntry{startEntry}
	b.ReportAllocs()
	for b.Loop() {
		o.LogEntries(entries)
	}
}
