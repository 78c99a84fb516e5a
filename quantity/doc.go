// Package quantity defines the text format of amounts in settings and requests: sizes and
// durations have a unit, as in "256MiB" and "30s".
package quantity
