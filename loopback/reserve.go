package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// The ports are below the range from which the system takes the ports of outgoing
// connections, so that none is in use before its process listens.
const (
	firstPort = 10000
	lastPort  = 32000
	ports     = lastPort - firstPort
	// processPortStride is the distance between the first ports tried by
	// processes with consecutive IDs.
	processPortStride = 997
)

// next is the offset of the last port tried. Processes start at different
// offsets.
var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * processPortStride) }

// Reserve returns an address of a loopback IP, such as 127.0.0.1, with a port that
// no process listens on. It returns each port once until it has tried all of them.
func Reserve(ip string) (string, error) {
	for range ports {
		port := firstPort + next.Add(1)%ports
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.FormatInt(port, 10)))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", errors.Trace(err)
		}
		return l.Addr().String(), nil
	}
	return "", errors.NotFoundf("free port on %s", ip)
}
