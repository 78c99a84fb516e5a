package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// job is an ordinary job.
const job = `{"spec":"x","steps":[{"replicas":1,"cpu":100,"mem_mb":10,"estimate_ms":50}]}`

const (
	// clients is the number of clients that send bodies of bodyBytes, 150 MB in total.
	clients = 600
	// completing is the number of them that send their whole body.
	completing = clients / 10
	// missingBytes is how many bytes short of its end a body stops.
	missingBytes = 10
	// pieces and piecePause are how a body is sent piece by piece: within 1.3 s.
	pieces, piecePause = 64, 20 * time.Millisecond
	// largeChunk and smallChunk are the sizes of chunks, in bytes.
	largeChunk, smallChunk = 32 << 10, 4
	// holdTime is how long the connections are left open before the checks. The kernel accepts what
	// clients send before the host reads it.
	holdTime = 6 * time.Second
	// expanding is the number of clients that send a body which is larger when decoded.
	expanding = 100
	// headerBytes is the size of a header, and connected the number of clients that send no
	// request.
	headerBytes, connected = 16_000, 900
)

func jobPath(number int) string { return fmt.Sprintf("/%s/%016x", queue, number) }

// largeBody returns an ordinary job of bodyBytes.
func largeBody() []byte {
	head := strings.TrimSuffix(job, "}") + `,"unknown":"`
	return []byte(head + strings.Repeat("a", bodyBytes-len(head)-2) + `"}`)
}

// chunked returns a body in the chunked transfer coding.
func chunked(body []byte, size int) []byte {
	var coded bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		fmt.Fprintf(&coded, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	coded.WriteString("0\r\n\r\n")
	return coded.Bytes()
}

func lengthHeader(length int) string { return fmt.Sprintf("Content-Length: %d", length) }

const chunkedHeader = "Transfer-Encoding: chunked"

// deadlineOfSends returns the time until which a client may send that begins now.
func deadlineOfSends() time.Time { return time.Now().Add(waitTimeout / 2) }

// attack makes clients connect to the address for callers and send at once, and leave their
// connections open. It returns when all have sent what they send, or were cut off.
func (h *host) attack(clients int, send func(connection net.Conn, client int) error) {
	h.attackPort(callerPort, clients, send)
}

// attackPort is like attack for another port of the host.
func (h *host) attackPort(port, clients int, send func(connection net.Conn, client int) error) {
	var sent sync.WaitGroup
	sent.Add(clients)
	for i := range clients {
		go func() {
			defer sent.Done()
			connection, err := net.Dial("tcp", h.address(port))
			if err != nil {
				// The host may refuse the connection.
				return
			}
			h.c.Cleanup(func() { _ = connection.Close() })
			// The host may close the connection at any time. A client that is not read from must not
			// hold up the test.
			_ = connection.SetWriteDeadline(deadlineOfSends())
			_ = send(connection, i)
		}()
	}
	sent.Wait()
	time.Sleep(holdTime)
}

// sender returns a function that sends the header of a request and its coded body, in pieces.
// Most clients stop just short of the end.
func sender(header string, coded []byte, pieces int, pause time.Duration) func(net.Conn, int) error {
	return func(connection net.Conn, client int) error {
		if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", jobPath(client+1), virtualHost, header); err != nil {
			return err
		}
		rest := coded
		if client >= completing {
			rest = rest[:len(rest)-missingBytes]
		}
		return sendPieces(connection, rest, pieces, pause)
	}
}

// sendPieces sends text in pieces.
func sendPieces(connection net.Conn, rest []byte, pieces int, pause time.Duration) error {
	size := len(rest)/pieces + 1
	for len(rest) > 0 {
		n := min(size, len(rest))
		if _, err := connection.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(pause)
	}
	return nil
}

// Guards against a process that runs out of memory because many clients send large bodies at
// once.
func TestLargeBodiesAtOnce(t *testing.T) {
	h := startHost(t)
	h.attack(clients, sender(lengthHeader(bodyBytes), largeBody(), 1, 0))
	h.check()
}

// Guards against the same with bodies that arrive piece by piece.
func TestLargeBodiesPieceByPiece(t *testing.T) {
	h := startHost(t)
	h.attack(clients, sender(lengthHeader(bodyBytes), largeBody(), pieces, piecePause))
	h.check()
}

// Guards against the same with bodies whose length is not declared.
func TestLargeChunks(t *testing.T) {
	h := startHost(t)
	h.attack(clients, sender(chunkedHeader, chunked(largeBody(), largeChunk), 1, 0))
	h.check()
}

// Guards against the same with chunks that take more bytes to delimit than they hold.
func TestSmallChunks(t *testing.T) {
	h := startHost(t)
	h.attack(clients, sender(chunkedHeader, chunked(largeBody(), smallChunk), 1, 0))
	h.check()
}

// Guards against the same with headers of legal size, of as many lines as they can have.
func TestHeadersOfManyLines(t *testing.T) {
	h := startHost(t)
	var header strings.Builder
	for i := 0; header.Len() < headerBytes; i++ {
		fmt.Fprintf(&header, "%x:\r\n", i)
	}
	h.attack(clients, func(connection net.Conn, client int) error {
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\n%s", jobPath(client+1), virtualHost, header.String())
		return err
	})
	h.check()
}

// Guards against a process without descriptors for ordinary callers and its own links.
func TestConnectionsWithoutRequests(t *testing.T) {
	h := startHost(t)
	h.attack(connected, func(net.Conn, int) error { return nil })
	h.check()
}

// Guards against bodies of legal size that take many times their size when they are decoded.
func TestExpandingBodies(t *testing.T) {
	h := startHost(t)
	body := []byte(`{"steps":[{}` + strings.Repeat(",{}", (bodyBytes-14)/3) + "]}")
	qt.Assert(t, len(body) <= bodyBytes, qt.IsTrue)
	h.attack(expanding, sender(lengthHeader(len(body)), body, 1, 0))
	h.check()
}

// Guards against limits that refuse a single client within the limits of callers when there is no
// attack: the largest body, in chunks of one byte, spread over 2 s. A pause of this machine may
// let one attempt fail.
func TestSlowBodyInCalm(t *testing.T) {
	const attempts, slowPieces, pause = 5, 100, 20 * time.Millisecond
	h := startHost(t)
	send := sender(chunkedHeader, chunked(largeBody(), 1), slowPieces, pause)
	status := ""
	for range attempts {
		connection, err := net.Dial("tcp", h.address(callerPort))
		h.c.Assert(err, qt.IsNil)
		h.c.Check(connection.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
		if err := send(connection, 0); err == nil {
			status, _ = bufio.NewReader(connection).ReadString('\n')
		}
		h.c.Check(connection.Close(), qt.IsNil)
		if strings.HasPrefix(status, "HTTP/1.1 200") {
			return
		}
	}
	t.Fatalf("the last of %d attempts got %q", attempts, status)
}
