package witness

import "sync"

// Registry holds the highest known epoch of each rack. The zero value knows none and
// doesn't answer. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// rowsRead reports whether the owner rows were read since the process started.
	rowsRead bool
	epochs   map[string]uint64
}

// RecordOwnerRows records the epochs of all owner rows, by rack. After that the registry
// answers.
func (r *Registry) RecordOwnerRows(epochs map[string]uint64) {
	r.RecordEpochs(epochs)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowsRead = true
}

// RecordEpochs records epochs by rack. It ignores those below the known ones.
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

// Answer records the epochs under which a member owns racks, and returns the higher
// epochs known of these racks. ok is false until the owner rows were read.
func (r *Registry) Answer(epochs map[string]uint64) (higher map[string]uint64, ok bool) {
	r.RecordEpochs(epochs)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.higherEpochs(epochs), r.rowsRead
}

// HigherEpochs returns the known epochs that are higher than the given ones, by rack.
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
