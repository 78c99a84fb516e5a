// Package load generates synthetic loads for measuring schedulers: a cell of
// workers, the arriving work with its true run time and use, and the faults
// during the load. A load is fully determined by its function, cell or scale,
// and seed.
package load
