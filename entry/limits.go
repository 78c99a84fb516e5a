package entry

import (
	"bytes"
	"math"
	"os"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/settings"
)

const (
	// groupMemoryFile has the memory that the control group of the process may take, in bytes, or
	// the word max (Linux, Documentation/admin-guide/cgroup-v2.rst).
	groupMemoryFile = "/sys/fs/cgroup/memory.max"
	// fallbackMemory, in bytes, and fallbackDescriptors apply if the system does not say what it
	// allows: those of the smallest hosts.
	fallbackMemory      = 184 << 20
	fallbackDescriptors = 1024
)

// MemoryLimit returns the memory that the process may take by its settings, in bytes.
func MemoryLimit(l settings.Limits) int64 {
	if l.Memory > 0 {
		return int64(l.Memory)
	}
	limit := int64(fallbackMemory)
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		limit = int64(min(uint64(info.Totalram)*uint64(info.Unit), math.MaxInt64))
	}
	text, err := os.ReadFile(groupMemoryFile)
	if err != nil {
		// There is no control group with a limit.
		return limit
	}
	if group, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil {
		limit = min(limit, group)
	}
	return limit
}

// descriptorLimit returns the number of descriptors that the process may have by its settings.
func descriptorLimit(l settings.Limits) int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// limitsOf derives the limits of a process from its settings.
func limitsOf(l settings.Limits) server.Limits {
	limits := server.LimitsOf(MemoryLimit(l), descriptorLimit(l))
	limits.Callers = min(limits.Callers, l.Connections)
	return limits
}
