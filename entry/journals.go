package entry

import (
	"maps"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/wal"
)

// journalBurst is the number of rows that a host may write at once after a period of
// few writes.
const journalBurst = 16

// journals runs one journal writer for each partition that this host owns. Partitions
// are opened and written in parallel, so that a slow one does not delay the others.
type journals struct {
	host *Host
	// limiter is shared by the partitions of this host. Its limit is their share of the
	// write budget of all partitions.
	limiter *rate.Limiter

	mu         sync.Mutex
	partitions map[string]*partitionJournal
}

// partitionJournal connects the journal writer of one partition to the decision core.
type partitionJournal struct {
	*background
	journals  *journals
	partition string
	epoch     uint64
	writer    *wal.Writer
}

var _ wal.Listener = (*partitionJournal)(nil)

func newJournals(h *Host) *journals {
	return &journals{
		host: h, partitions: map[string]*partitionJournal{},
		limiter: rate.NewLimiter(0, journalBurst),
	}
}

// open starts the writer of a partition under a new epoch.
func (j *journals) open(name string, claim partition.Claim) {
	j.drop(name)
	k := &partitionJournal{background: newBackground(), journals: j, partition: name, epoch: claim.Epoch}
	store := wal.Store{Table: j.host.platform, Objects: j.host.platform}
	k.writer = wal.NewWriter(store, name, j.host.name, claim.Epoch, j.limiter, k)
	j.mu.Lock()
	j.partitions[name] = k
	j.updateLimit()
	j.mu.Unlock()
	k.start(k.writer.Run)
}

// updateLimit sets the rate limit to this host's share of the budget. The caller holds
// j.mu.
func (j *journals) updateLimit() {
	total := len(j.host.layout.Regions) * j.host.layout.PerRegion
	j.limiter.SetLimit(rate.Limit(float64(tablestore.JournalWriteBudget*len(j.partitions)) / float64(total)))
}

// drop stops the writer of a partition once its accepted entries are written, and then
// removes the partition from the core.
func (j *journals) drop(name string) {
	j.mu.Lock()
	k, ok := j.partitions[name]
	delete(j.partitions, name)
	j.mu.Unlock()
	if !ok {
		return
	}
	k.close()
	j.mu.Lock()
	j.updateLimit()
	j.mu.Unlock()
	j.host.decide.put(decision.PartitionLost{Partition: name})
}

// close stops all writers in parallel.
func (j *journals) close() {
	var all sync.WaitGroup
	for _, name := range j.names() {
		all.Go(func() { j.drop(name) })
	}
	all.Wait()
}

// names returns the partitions that have a writer at this host.
func (j *journals) names() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Collect(maps.Keys(j.partitions))
}

// owns reports whether the host may decide for a partition.
func (j *journals) owns(name string) bool {
	k, ok := j.lookup(name)
	return ok && k.writer.IsOpen()
}

// epoch returns the epoch under which the host acquired a partition, or 0.
func (j *journals) epoch(name string) uint64 {
	if k, ok := j.lookup(name); ok {
		return k.epoch
	}
	return 0
}

func (j *journals) lookup(name string) (*partitionJournal, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k, ok := j.partitions[name]
	return k, ok
}

// append adds an entry to the journal of its partition. It reports whether the entry
// was accepted; if not, the entry is certainly not durable.
func (j *journals) append(r decision.Record) bool {
	k, ok := j.lookup(r.Partition)
	return ok && k.writer.Put(wal.Item{Token: r.Token, Entry: r.Entry}) == nil
}

// close stops the writer after its accepted entries are written, within a bound.
func (k *partitionJournal) close() {
	k.writer.Close()
	k.wait.Wait()
	k.stop()
}

// Recovered implements wal.Listener.
func (k *partitionJournal) Recovered(entries []record.Entry) {
	k.journals.host.log.Infof("Journal: partition %s open, %d entries recovered.", k.partition, len(entries))
	k.journals.host.decide.put(decision.PartitionRecovered{Partition: k.partition, Entries: entries})
}

// Recorded implements wal.Listener.
func (k *partitionJournal) Recorded(token uint64) {
	k.journals.host.decide.put(decision.Recorded{Token: token})
}

// Failed implements wal.Listener.
func (k *partitionJournal) Failed(token uint64, inDoubt bool) {
	k.journals.host.decide.put(decision.RecordFailed{Token: token, InDoubt: inDoubt})
}

// SnapshotDue implements wal.Listener. The request passes through the core's event queue,
// behind the Recorded events of all entries that the snapshot must hold.
func (k *partitionJournal) SnapshotDue(covers uint64) {
	k.journals.host.decide.inspect(func(core *decision.Core) {
		k.writer.SubmitSnapshot(covers, core.Snapshot(k.partition))
	})
}

// Fenced implements wal.Listener.
func (k *partitionJournal) Fenced() {
	k.journals.host.log.Warnf("Journal: partition %s has another owner, closing its journal.", k.partition)
	go k.journals.dropFenced(k)
}

// dropFenced stops a writer that was fenced, unless a newer one has replaced it.
func (j *journals) dropFenced(k *partitionJournal) {
	if now, ok := j.lookup(k.partition); ok && now == k {
		j.drop(k.partition)
	}
}
