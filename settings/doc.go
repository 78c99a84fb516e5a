// Package settings reads the settings of an entry host: a base file and the
// overlays of the site, merged by JSON Merge Patch (RFC 7396) and checked as one
// document.
package settings
