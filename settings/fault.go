package settings

import (
	"fmt"
	"strings"
)

// Fault is one validation error in the settings.
type Fault struct {
	// File is the file that sets the field, or the one that should set it.
	File string
	// Path names the field, as in "Hosts.e1.Callers".
	Path string
	// Reason is a full sentence.
	Reason string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Reason)
}

// FaultsError holds all validation errors of the settings, at least one.
type FaultsError struct{ Faults []Fault }

// Error implements error with a line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
