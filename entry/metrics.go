package entry

import (
	"expvar"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/metric"
	"github.com/vanillaquay/vanillaquay/task"
)

// metrics holds the metrics of a host.
type metrics struct {
	// all holds the metrics below, and those computed on demand, by name.
	all *expvar.Map
	// decisions counts commands to racks by verb.
	decisions *expvar.Map
	// answers counts replies by state; rejections counts those of state NotRun by code.
	answers, rejections *expvar.Map
	// waits holds the times from submission to the start of the last task.
	waits metric.Histogram
}

func newMetrics(h *Host) *metrics {
	m := &metrics{
		all: new(expvar.Map), decisions: new(expvar.Map),
		answers: new(expvar.Map), rejections: new(expvar.Map),
	}
	m.all.Set("Decisions", m.decisions)
	m.all.Set("Answers", m.answers)
	m.all.Set("Rejections", m.rejections)
	m.all.Set("Waits", &m.waits)
	m.all.Set("Queues", expvar.Func(func() any { return h.queues() }))
	m.all.Set("StoreWrites", expvar.Func(func() any { return h.platform.Writes() }))
	m.all.Set("StoreReads", expvar.Func(func() any { return h.platform.Reads() }))
	m.all.Set("Links", expvar.Func(func() any { return h.hub.Stats() }))
	m.all.Set("ConfigurationVersion", expvar.Func(func() any { return h.configuration().Version }))
	// The memory statistics cover the whole process.
	m.all.Set("Memory", expvar.Get("memstats"))
	return m
}

// countDecision counts a command of the core.
func (m *metrics) countDecision(c decision.Command) { m.decisions.Add(string(c.Verb), 1) }

// countAnswer counts an answer of the core.
func (m *metrics) countAnswer(a task.Answer) {
	m.answers.Add(string(a.State), 1)
	if a.State == task.NotRun {
		m.rejections.Add(a.Code, 1)
	}
	if a.State == task.Ran {
		m.waits.Record(a.Waited)
	}
}

// queues returns the length of each queue.
func (h *Host) queues() map[string]int {
	queues := map[string]int{
		"Decision": h.decide.events.Depth(),
		"Rack":     h.racks.messages.Depth(),
	}
	h.journals.mu.Lock()
	defer h.journals.mu.Unlock()
	for name, k := range h.journals.partitions {
		queues["Journal."+name] = k.writer.QueuedEntries()
	}
	return queues
}
