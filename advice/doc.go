// Package advice deals out questions to the hosts that may ask the advice service.
// The service handles one question of a host at a time, and some take a second, so
// that long ones are kept to a part of the hosts and the rest stay free for short
// ones. The package is pure.
package advice
