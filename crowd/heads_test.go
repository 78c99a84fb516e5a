package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// endlessBytes is how much a client sends of what has no end, unless it is cut off.
	endlessBytes = 900_000
	// openHeaderBytes is the size of a header that stays open, within what package http reads.
	openHeaderBytes = 19_000
	// portClients is the number of clients that attack a port which isn't for callers.
	portClients = 400
)

// Ports of a host on the users' platform that aren't for callers.
const metricsPort = 9464

// sendEndlessly sends a part of a request again and again.
func sendEndlessly(connection net.Conn, begin, part string) error {
	if _, err := io.WriteString(connection, begin); err != nil {
		return err
	}
	block := bytes.Repeat([]byte(part), 1+16<<10/len(part))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := connection.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// inTurn returns a function with which client after client sends the next of several beginnings,
// each followed by a part without end.
func inTurn(requests ...[2]string) func(net.Conn, int) error {
	return func(connection net.Conn, client int) error {
		r := requests[client%len(requests)]
		return sendEndlessly(connection, r[0], r[1])
	}
}

// requestTo returns the request line and the first headers of a request.
func requestTo(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n", path, virtualHost)
}

// endlessHeaders returns the requests whose header has no end: one line, many lines, a line in
// lines of 4 bytes, and the request line.
func endlessHeaders(path string) [][2]string {
	return [][2]string{
		{requestTo(path) + "X: ", strings.Repeat("a", 64)},
		{requestTo(path), "X-Header: value\r\n"},
		{requestTo(path), "a:\r\n"},
		{"POST " + path, "/a"},
	}
}

// emptyLines returns empty lines before a request, without end.
func emptyLines() [][2]string { return [][2]string{{"", "\r\n"}, {"", "\n"}, {"", "\r"}} }

// endlessBodies returns requests whose body ends in trailers or a chunk extension without end.
func endlessBodies(path string) [][2]string {
	begin := requestTo(path) + chunkedHeader + "\r\n\r\n"
	return [][2]string{{begin + "0\r\n", "X-Trailer: value\r\n"}, {begin + "5;", "extension=value;"}}
}

// allKinds returns one of each kind of request without end.
func allKinds(path string) [][2]string {
	return append(append(endlessHeaders(path), emptyLines()...), endlessBodies(path)...)
}

// sendOpenHeader sends a header of openHeaderBytes in short lines, without its end.
func sendOpenHeader(path string) func(net.Conn, int) error {
	return func(connection net.Conn, _ int) error {
		header := requestTo(path)
		_, err := io.WriteString(connection, header+strings.Repeat("a:\r\n", (openHeaderBytes-len(header))/4))
		return err
	}
}

// Guards against headers that are read without a limit.
func TestHeadersWithoutEnd(t *testing.T) {
	h := startHost(t)
	h.attack(clients, inTurn(endlessHeaders(jobPath(1))...))
	h.check()
}

// Guards against headers over the limit that stay open.
func TestOpenHeadersOverTheLimit(t *testing.T) {
	h := startHost(t)
	h.attack(clients, sendOpenHeader(jobPath(1)))
	h.check()
}

// Guards against empty lines before a request that are read without a limit.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	h := startHost(t)
	h.attack(clients, inTurn(emptyLines()...))
	h.check()
}

// Guards against the same on a connection on which a job was submitted.
func TestEmptyLinesAfterAJob(t *testing.T) {
	h := startHost(t)
	lines := emptyLines()
	h.attack(clients, func(connection net.Conn, client int) error {
		if _, err := fmt.Fprintf(connection, "%s%s\r\n\r\n%s", requestTo(jobPath(client+1)), lengthHeader(len(job)), job); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		r := lines[client%len(lines)]
		return sendEndlessly(connection, r[0], r[1])
	})
	h.check()
}

// Guards against trailers and chunk extensions that are read without a limit.
func TestTrailersWithoutEnd(t *testing.T) {
	h := startHost(t)
	h.attack(clients, inTurn(endlessBodies(jobPath(1))...))
	h.check()
}

// Guards against the same kinds of requests at the ports that aren't for callers.
func TestOtherPorts(t *testing.T) {
	for _, p := range []struct {
		name string
		port int
		path string
	}{{"Ready", readyPort, "/vanillaquay/ready"}, {"Links", peerPort, "/peer"}, {"Metrics", metricsPort, "/metrics"}} {
		t.Run(p.name, func(t *testing.T) {
			h := startHost(t)
			h.attackPort(p.port, portClients, inTurn(allKinds(p.path)...))
			h.check()
		})
	}
}

// Guards against clients that come back after they were cut off, with another kind of request
// each time.
func TestReturningClients(t *testing.T) {
	const returns = 8
	h := startHost(t)
	kinds := allKinds(jobPath(1))
	whole := sender(lengthHeader(bodyBytes), largeBody(), 1, 0)
	h.attack(portClients, func(connection net.Conn, client int) error {
		for i := range returns {
			next, err := net.Dial("tcp", h.address(callerPort))
			if err != nil {
				return err
			}
			h.c.Cleanup(func() { _ = next.Close() })
			h.c.Check(next.SetWriteDeadline(deadlineOfSends()), qt.IsNil)
			// Each of these may be cut off.
			if kind := (client + i) % (len(kinds) + 1); kind < len(kinds) {
				_ = sendEndlessly(next, kinds[kind][0], kinds[kind][1])
			} else {
				_ = whole(next, client)
			}
		}
		return nil
	})
	h.check()
}
