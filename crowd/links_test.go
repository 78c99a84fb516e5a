package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

const (
	// links is the number of other hosts that send messages, which is below the limit of links.
	links = 60
	// messageBytes is the size of a message from another host, which is below the limit of one.
	messageBytes = 4 << 20
	// longNames is the number of connections from hosts with names of longNameBytes, that follow
	// one another.
	longNames, longNameBytes = 48_000, 15_000
)

// openLink opens a link as the named host does.
func openLink(connection net.Conn, name string) error {
	if _, err := fmt.Fprintf(connection, "GET /peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nVanillaquay-Member: %s\r\n\r\n", name); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}

// messageFrame returns a binary WebSocket frame (RFC 6455, section 5.2), masked with zeros, whose
// payload is a list with one message of a kind.
func messageFrame(kind byte) []byte {
	var payload bytes.Buffer
	// CBOR (RFC 8949): a list of one list, with the kind and a byte string.
	payload.Write([]byte{0x81, 0x82, kind, 0x5a})
	_ = binary.Write(&payload, binary.BigEndian, uint32(messageBytes))
	payload.Write(make([]byte, messageBytes))
	frame := bytes.NewBuffer([]byte{0x82, 0x80 | 127})
	_ = binary.Write(frame, binary.BigEndian, uint64(payload.Len()))
	frame.Write(make([]byte, 4))
	frame.Write(payload.Bytes())
	return frame.Bytes()
}

// attackLinks makes hosts send large messages of a kind at once, most of which stop just short of
// their end.
func (h *host) attackLinks(port int, kind byte) {
	frame := messageFrame(kind)
	h.attackPort(port, links, func(connection net.Conn, client int) error {
		if err := openLink(connection, fmt.Sprintf("x%d", client)); err != nil {
			return err
		}
		go func() { _, _ = io.Copy(io.Discard, connection) }()
		if client < links/10 {
			_, err := connection.Write(frame)
			return err
		}
		_, err := connection.Write(frame[:len(frame)-missingBytes])
		return err
	})
}

// attackNames makes hosts connect under names that are different and long, one after the other.
func (h *host) attackNames(port int) {
	long := string(bytes.Repeat([]byte("x"), longNameBytes))
	h.attackPort(port, links, func(_ net.Conn, client int) error {
		for i := range longNames / links {
			connection, err := net.Dial("tcp", h.address(port))
			if err != nil {
				return err
			}
			// The host may refuse the link.
			_ = connection.SetDeadline(deadlineOfSends())
			_ = openLink(connection, fmt.Sprintf("%s-%d-%d", long, client, i))
			_ = connection.Close()
		}
		return nil
	})
}

// kindJobCall and kindCall are the codes of calls that another host forwards, on the users'
// platform and in the project's own deployments.
const kindJobCall, kindCall = 14, 1

// Guards against an owner that runs out of memory because many hosts send large messages at once.
func TestLargeMessagesOfHosts(t *testing.T) {
	h := startHost(t)
	h.attackLinks(peerPort, kindJobCall)
	h.check()
}

// Guards against a host that remembers each name under which a link was ever opened.
func TestNamesOfHosts(t *testing.T) {
	h := startHost(t)
	h.attackNames(peerPort)
	h.check()
}
