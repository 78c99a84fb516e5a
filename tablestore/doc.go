// Package tablestore speaks to the platform's services: the transactional table,
// the object store and the lagging list of hosts. Everything that is agreed or
// kept goes through here.
//
// The services are met over HTTP. A row's version travels as an entity tag, and
// a conditional write uses If-Match and If-None-Match (RFC 9110, section 13.1).
// A write whose answer was lost is reported as ErrUnknown; the caller settles it
// by reading the key.
package tablestore
