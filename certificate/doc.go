// Package certificate reloads the TLS certificate of a listener when its files
// change, so that a renewed one needs no restart.
package certificate
