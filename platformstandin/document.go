package platformstandin

import "encoding/json"

// Documents of the platform in its published form, for whole deployments of stand-ins.

// Queue is a queue of a catalogue.
type Queue struct {
	// Name is the name of the queue, and of the first part of its paths.
	Name     string
	Attempts int
	// Advised makes the queue ask the advice service.
	Advised bool
}

// ServiceName is the service of all workers that WorkerDocument describes.
const ServiceName = "s"

// CatalogueDocument returns a version of the catalogue with queues at a virtual host.
func CatalogueDocument(version int, host string, queues []Queue) ([]byte, error) {
	routes := []map[string]any{}
	for _, q := range queues {
		route := map[string]any{
			"name": q.Name, "host": host, "path_prefix": "/" + q.Name + "/", "timeout_ms": 3000, "slo_ms": 500,
			"service": ServiceName, "attempts": q.Attempts, "stretch": 2,
		}
		if q.Advised {
			route["advice"] = map[string]int{"decide_ms": 5, "each_ms": 1, "valid_ms": 2000}
		}
		routes = append(routes, route)
	}
	return json.Marshal(map[string]any{"version": version, "routes": routes, "services": []map[string]string{{"name": ServiceName}}})
}

// The states of a worker.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// WorkerDocument returns the row of a worker that began at a Unix time in milliseconds.
func WorkerDocument(address, state string, processors, begun int64) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": ServiceName, "addr": address, "zone": "z", "slots": 8, "state": state, "labels": []string{"a", "r1"},
		"capacity": map[string]int64{"cpu": processors, "mem_mb": 8000}, "born": begun, "seq": 1,
	})
}

// Step is a step of a job.
type Step struct {
	Tasks int
	// Processors is what a task takes, in thousandths of one.
	Processors int64
	// EstimateMS is about how long a task takes, in milliseconds.
	EstimateMS int64
	// After lists the numbers of the steps that must be done before.
	After []int
}

// JobDocument returns the body of a call that hands a job in.
func JobDocument(spec string, steps []Step) ([]byte, error) {
	list := []map[string]any{}
	for _, s := range steps {
		list = append(list, map[string]any{"replicas": s.Tasks, "cpu": s.Processors, "mem_mb": 100, "estimate_ms": s.EstimateMS, "after": s.After})
	}
	return json.Marshal(map[string]any{"spec": spec, "steps": list})
}

// HostSettings is what differs between the settings of hosts.
type HostSettings struct {
	Host, IP                              string
	CallerAddress, ReadyAddress           string
	PeerPort                              int
	StoreAddress, AdviceAddress, Machines string
	// StatusS is how long states are told, in seconds.
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
