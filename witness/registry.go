package witness

import "sync"

// Registry is the highest epoch that a member knows of each rack. The zero value
// knows none and does not answer. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// rowsRead tells that the owner rows were read since the process started.
	rowsRead bool
	epochs   map[string]uint64
}

// RecordOwnerRows notes the epochs of all owner rows.
func (r *Registry) RecordOwnerRows(epochs map[string]uint64) {
	r.RecordEpochs(epochs)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowsRead = true
}

// RecordEpochs notes epochs by rack. A lower one than is known changes nothing.
func (r *Registry) RecordEpochs(epochs map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epochs == nil {
		r.epochs = map[string]uint64{}
	}
	for rack, epoch := range epochs {
		r.epochs[rack] = max(r.epochs[rack], epoch)
	}
}

// Answer notes the epochs under which a member owns racks and returns those of
// which a higher one is known. It answers only once the owner rows were read.
func (r *Registry) Answer(epochs map[string]uint64) (higher map[string]uint64, ok bool) {
	r.RecordEpochs(epochs)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.higherEpochs(epochs), r.rowsRead
}

// HigherEpochs returns the racks of which a higher epoch is known, with that epoch.
func (r *Registry) HigherEpochs(epochs map[string]uint64) map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.higherEpochs(epochs)
}

func (r *Registry) higherEpochs(epochs map[string]uint64) map[string]uint64 {
	higher := map[string]uint64{}
	for rack, epoch := range epochs {
		if known := r.epochs[rack]; known > epoch {
			higher[rack] = known
		}
	}
	return higher
}
