// Package front is an entry host on the users' platform: it takes the calls of
// callers, asks the advice service for the owner of the cell, and takes the cell
// itself when its owner is gone.
package front
