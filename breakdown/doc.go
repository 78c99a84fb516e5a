// Package breakdown reads one day's logs of the hosts and reports where jobs spent their
// time: by queue, size class, availability zone, second and phase, with the worst windows
// and the incidents in them. It also reports which data the logs lack.
package breakdown
