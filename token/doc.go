// Package token identifies the holder of a request's bearer token.
package token
