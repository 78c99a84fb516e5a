package tablestore

// The writes per second that all entry hosts together may send to the table,
// by purpose. Each host takes a share that it can work out by itself, so that
// the sum holds without anything that hands out shares.
const (
	// WriteBudget is the sum.
	WriteBudget = 300
	// HeartbeatWrites is for renewals of the leases of members.
	HeartbeatWrites = 40
	// JournalWrites is for rows of journals, their snapshots' pointers and the
	// removal of rows behind them. It is shared by partition.
	JournalWrites = 200
	// OwnershipWrites is for claims of partitions and racks, and for fencing.
	OwnershipWrites = 40
	// ConfigurationWrites is for changes by operators.
	ConfigurationWrites = WriteBudget - HeartbeatWrites - JournalWrites - OwnershipWrites
)

// ReadBudget is the reads per second that all entry hosts together may spend on
// looking at members, owners, the list of hosts and the configuration.
const ReadBudget = 500
