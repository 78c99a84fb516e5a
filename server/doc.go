// Package server provides the HTTP server of an entry host, which answers every
// request that it has accepted before it stops.
package server
