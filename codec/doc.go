// Package codec defines the CBOR encoding (RFC 8949) of values that are sent between
// entry hosts or stored in the platform's table, so that all packages use the same one.
package codec
