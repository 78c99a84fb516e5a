// Package slope measures how control costs grow with the size of a cell: each
// measure runs production code at three or more sizes and fits a line to the
// results. The capacity page of the documentation is calculated from these
// lines.
package slope
