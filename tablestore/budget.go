package tablestore

// Limits in writes per second that all entry hosts together may send to the table,
// by purpose. Each host computes its own share, so that the total holds without a
// coordinator.
const (
	// WriteBudget is the total.
	WriteBudget = 300
	// HeartbeatWriteBudget is for renewals of the members' leases.
	HeartbeatWriteBudget = 40
	// JournalWriteBudget is for rows of journals, pointers to their snapshots and the
	// removal of rows that a snapshot covers. It is divided among the partitions.
	JournalWriteBudget = 200
	// OwnershipWriteBudget is for claims of partitions and racks, and for fencing.
	OwnershipWriteBudget = 40
	// ConfigurationWriteBudget is for changes by operators.
	ConfigurationWriteBudget = WriteBudget - HeartbeatWriteBudget - JournalWriteBudget - OwnershipWriteBudget
)

// ReadBudget is the limit in reads per second that all entry hosts together may spend
// on polls of members, owners, the list of workers and the configuration.
const ReadBudget = 500
