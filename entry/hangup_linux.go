package entry

import "golang.org/x/sys/unix"

// peerClosed reports whether the other end of a socket has closed it, even if earlier
// data is still unread.
func peerClosed(descriptor uintptr) bool {
	events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(events, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && events[0].Revents != 0
	}
}
