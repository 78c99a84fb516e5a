package tablestore

// The writes per second that all entry hosts together may send to the table,
// by purpose. Each host takes a share that it can work out by itself, so that
// the sum holds without anything that hands out shares.
const (
	// WriteBudget is the sum.
	WriteBudget = 300
	// HeartbeatWriteBudget is for renewals of the leases of members.
	HeartbeatWriteBudget = 40
	// JournalWriteBudget is for rows of journals, their snapshots' pointers and the
	// removal of rows behind them. It is shared by partition.
	JournalWriteBudget = 200
	// OwnershipWriteBudget is for claims of partitions and racks, and for fencing.
	OwnershipWriteBudget = 40
	// ConfigurationWriteBudget is for changes by operators.
	ConfigurationWriteBudget = WriteBudget - HeartbeatWriteBudget - JournalWriteBudget - OwnershipWriteBudget
)

// ReadBudget is the reads per second that all entry hosts together may spend on
// looking at members, owners, the list of hosts and the configuration.
const ReadBudget = 500
