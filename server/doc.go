// Package server has the HTTP server of an entry host, which ends without leaving a
// call that it has taken in without an answer.
package server
