package platformstandin

import (
	"cmp"
	"encoding/json"
)

// This file encodes documents in the platform's published formats, for deployments that
// consist of stand-ins.

// Queue describes a queue in a catalogue.
type Queue struct {
	Name string
	// Path is the first segment of its paths; "" is its name.
	Path     string
	Attempts int
	// Advised makes the queue ask the advice service.
	Advised bool
	// Public makes calls need no key.
	Public bool
}

// Organisation describes an organisation in a catalogue.
type Organisation struct {
	Name   string
	Keys   []string
	Weight float64
	// MaxProcessors limits its running tasks, in thousandths of a processor; 0 is no limit.
	MaxProcessors int64
}

// KeyHeader carries the key of the caller's organisation in a call.
const KeyHeader = "X-Api-Key"

// ServiceName is the service of all queues and workers in these documents.
const ServiceName = "s"

// CatalogueDocument returns a version of the catalogue with routes to the queues under a
// virtual host. Calls need a key if organisations are given.
func CatalogueDocument(version int, host string, queues []Queue, organisations ...Organisation) ([]byte, error) {
	routes := []map[string]any{}
	for _, q := range queues {
		route := map[string]any{
			"name": q.Name, "host": host, "path_prefix": "/" + cmp.Or(q.Path, q.Name) + "/", "timeout_ms": 3000, "slo_ms": 500,
			"service": ServiceName, "attempts": q.Attempts, "stretch": 2, "public": q.Public,
		}
		if q.Advised {
			route["advice"] = map[string]int{"decide_ms": 5, "each_ms": 1, "valid_ms": 2000}
		}
		routes = append(routes, route)
	}
	document := map[string]any{"version": version, "routes": routes, "services": []map[string]string{{"name": ServiceName}}}
	if tenants := tenants(organisations); len(tenants) > 0 {
		document["tenants"] = tenants
	}
	return json.Marshal(document)
}

func tenants(organisations []Organisation) []map[string]any {
	var list []map[string]any
	for _, o := range organisations {
		list = append(list, map[string]any{
			"name": o.Name, "api_keys": o.Keys, "weight": o.Weight, "max_count": map[string]int64{"cpu": o.MaxProcessors, "mem_mb": 0, "gpu": 0},
		})
	}
	return list
}

// The states of a worker.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// WorkerDocument returns the row of a worker that started at begun, a Unix time in
// milliseconds.
func WorkerDocument(address, state string, processors, begun int64) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": ServiceName, "addr": address, "zone": "z", "slots": 8, "state": state, "labels": []string{"a", "r1"},
		"capacity": map[string]int64{"cpu": processors, "mem_mb": 8000}, "born": begun, "seq": 1,
	})
}

// Step describes a step of a job.
type Step struct {
	Tasks int
	// Processors is the demand of a task, in thousandths of a processor.
	Processors int64
	// EstimateMS is the estimated run time of a task, in milliseconds.
	EstimateMS int64
	// After lists the numbers of the steps that must be done first.
	After []int
}

// JobDocument returns the body of a call that submits a job.
func JobDocument(spec string, steps []Step) ([]byte, error) {
	list := []map[string]any{}
	for _, s := range steps {
		list = append(list, map[string]any{"replicas": s.Tasks, "cpu": s.Processors, "mem_mb": 100, "estimate_ms": s.EstimateMS, "after": s.After})
	}
	return json.Marshal(map[string]any{"spec": spec, "steps": list})
}

// HostSettings holds the settings that differ between hosts.
type HostSettings struct {
	Host, IP                              string
	CallerAddress, ReadyAddress           string
	PeerPort                              int
	StoreAddress, AdviceAddress, Machines string
	// StatusS is how long the state of a finished job can be queried, in seconds.
	StatusS int
}

// SettingsDocument returns the settings file of a host.
func SettingsDocument(s HostSettings) ([]byte, error) {
	return json.Marshal(map[string]any{
		"node": s.Host, "zone": "z", "region": "r", "ip": s.IP, "port_range": []int{s.PeerPort, s.PeerPort + 15},
		"listen":    map[string]string{"front": s.CallerAddress, "ready": s.ReadyAddress},
		"limits":    map[string]any{"memory_mb": 284},
		"platform":  map[string]any{"addr": s.StoreAddress, "form": "table", "row_bytes": 65536},
		"advice":    s.AdviceAddress,
		"bounds":    map[string]any{"max_hold_ms": 6000, "grace_s": 6, "stop_ms": 900, "status_s": s.StatusS, "maintenance_s": 2, "lease_ms": 3000},
		"cloud_api": map[string]any{"addr": s.Machines}, "orders": "call", "heartbeat_ms": 1500,
	})
}
