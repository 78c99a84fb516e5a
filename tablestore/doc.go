// Package tablestore is the client of the platform's services: the transactional
// table, the object store and the list of workers, which may be out of date. All shared
// and durable state of the entry hosts is accessed through it.
//
// The services use HTTP. A row's version is sent as an entity tag, and a conditional
// write uses If-Match or If-None-Match (RFC 9110, section 13.1). A write whose
// response was lost is reported as ErrUnknown; the caller determines the outcome by
// reading the key.
package tablestore
