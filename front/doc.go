// Package front implements an entry host for the users' platform: it accepts calls from
// callers, queries the advice service on behalf of the owner of the cell, and takes the
// cell over when its owner has ended or cannot be reached.
package front
