// Package pace decides at which share tasks that fill idle processors may work, so
// that the services beside them keep their latency targets. It is pure.
package pace
