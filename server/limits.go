package server

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// MaxProbeConnections bounds the connections of a server for probes, metrics or operators.
	MaxProbeConnections = 32
	// OtherDescriptors is the number of descriptors that are neither for callers nor for links: those
	// of files, of two servers with MaxProbeConnections, and of connections that are being closed.
	OtherDescriptors = fileDescriptors + 2*MaxProbeConnections + 4*MaxClosing
	// callerShare and linkShare are the shares of the other descriptors that connections of
	// callers and links from other hosts may take: 1,886 and 943 of 4,100 descriptors. In a cell of
	// 300 hosts 643 of the latter stay free, so that an owner has 1,586 for its links to the
	// others and its connections to workers and the store.
	callerShare, linkShare = 0.5, 0.25
	// workerShare is the share of them that connections to workers may take: 829 of 4,100
	// descriptors. 370 workers use one or two each.
	workerShare = 0.22
	// connectionMemoryShare is the share of the memory that connections of callers may take, at
	// ConnectionBytes each: the goroutines and buffers of a request, for which 16 to 27 KB were
	// measured, and the receive buffer. A host with 184 MB has 905 such connections.
	connectionMemoryShare = 0.25
	ConnectionBytes       = 28<<10 + ReceiveBufferBytes
	// requestMemoryShare is the share of the memory that the requests of clients may hold while
	// they arrive and are handled. Until garbage is collected they take twice that.
	requestMemoryShare = 0.125
	// queueMemoryShare is the share of the memory that messages of one kind from other hosts may
	// take until they are handled, and that jobs may take which wait for the event loop of the owner.
	// 300 hosts with callers that send the largest jobs would fill any owner's memory.
	queueMemoryShare = 0.0625
	// workMemoryShare is the share of the memory that work may take which has not ended.
	workMemoryShare = 0.125
	// linkMemoryShare is the share of the memory that messages from other hosts may take while they
	// arrive, and messageMemoryShare that of one of them, up to maxMessageBytes. Hosts send messages
	// of 128 KiB, and larger ones only for a single value, such as the list of a worker's runs.
	linkMemoryShare, messageMemoryShare = 0.125, 0.0625
	maxMessageBytes                     = 32 << 20
)

const (
	// MaxHeaderBytes is the MaxHeaderBytes of servers; package http adds 4,096 bytes. Callers send
	// headers of 16,384 bytes at most.
	MaxHeaderBytes = 16 << 10
	// HeapMemoryRatio is the ratio of the Go runtime's soft memory limit to the memory of the
	// process. Near the soft limit, garbage is collected more often.
	HeapMemoryRatio = 0.6
)

// Limits bounds what callers, operators and other hosts can take of a process.
type Limits struct {
	// RequestBytes bounds the memory that requests of callers and operators hold, in bytes.
	RequestBytes int64
	// QueuedBytes bounds messages of a kind that wait, and jobs that wait for the event loop, in
	// bytes.
	QueuedBytes int64
	// WorkBytes bounds the work of a host of the project's own deployments that has not ended, in
	// bytes.
	WorkBytes int64
	// LinkBytes bounds the messages from other hosts that arrive, and MessageBytes one of them, in
	// bytes.
	LinkBytes, MessageBytes int64
	// Callers and Links bound the connections of callers and the links from other hosts, Workers the
	// connections to workers.
	Callers, Links, Workers int
}

// LimitsOf derives the limits of a process from its memory, in bytes, and its descriptors.
func LimitsOf(memory int64, descriptors int) Limits {
	sockets := float64(max(1, descriptors-OtherDescriptors))
	return Limits{
		RequestBytes: int64(requestMemoryShare * float64(memory)),
		QueuedBytes:  int64(queueMemoryShare * float64(memory)),
		WorkBytes:    int64(workMemoryShare * float64(memory)),
		LinkBytes:    int64(linkMemoryShare * float64(memory)),
		MessageBytes: int64(min(maxMessageBytes, messageMemoryShare*float64(memory))),
		Callers:      max(1, int(min(callerShare*sockets, connectionMemoryShare*float64(memory)/ConnectionBytes))),
		Links:        max(1, int(linkShare*sockets)),
		Workers:      max(1, int(workerShare*sockets)),
	}
}
