package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	operatorPort = 18162
	// entryBodyBytes is the default limit of a body, and documentBytes that of a configuration.
	entryBodyBytes, documentBytes = 2 << 20, 1 << 20
	// teamToken and operatorToken are the tokens of callers and operators.
	teamToken, operatorToken = "t-domes", "t-ops"
	workPath, documentPath   = "/v1/work/", "/v1/configuration/diff"
)

// entryLimits returns the limits in the settings of an entry host, as small as the tests need.
func entryLimits() map[string]any {
	return map[string]any{"Memory": fmt.Sprintf("%dMiB", memoryMB), "Descriptors": maxDescriptors, "Connections": 400, "OpenPerTeam": 400}
}

// startEntry starts a host of the project's own deployments with its stand-ins, which is alone in
// its cell, and waits until it answers callers.
func startEntry(t *testing.T) *host {
	h := newHost(t)
	c := h.c
	h.submission = func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.address(callerPort)+workPath, strings.NewReader(entryWork("ordinary", "")))
		if err == nil {
			r.Header.Set("Authorization", "Bearer "+teamToken)
		}
		return r, err
	}
	store := platformstandin.New()
	worker := workerstandin.New("w1", task.Size{Processors: 16 * task.Processor, Memory: 32 * task.Gibibyte, Slots: 8, Connections: 64})
	store.SetHost(tablestore.Host{ID: "w1", Rack: "r1", Zone: "z", Region: "r", Address: serve(c, worker.Handler()), State: tablestore.Live})
	c.Cleanup(worker.Close)
	settings, err := json.Marshal(map[string]any{
		"Platform": "http://" + serve(c, store.Handler()), "Regions": []string{"r"}, "PartitionsPerRegion": 2,
		"Hosts": map[string]any{"e1": map[string]any{
			"Region": "r", "Zone": "z", "Callers": h.address(callerPort), "Operators": h.address(operatorPort), "Peers": h.address(peerPort),
		}},
		"Teams":     map[string]any{"domes": map[string]any{"Token": teamToken}},
		"Operators": map[string]any{"ops": map[string]any{"Token": operatorToken}},
		"Limits":    entryLimits(),
	})
	c.Assert(err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, settings, 0o600), qt.IsNil)
	h.start(t, nil, "serve", "--settings", path, "--host", "e1")
	return h
}

// entryWork returns a request that a worker runs at once.
func entryWork(id, payload string) string {
	return fmt.Sprintf(`{"ID":%q,"Kind":"Request","Size":{"Processors":0.5,"Memory":"64MiB"},"RunTime":"50ms","Idempotent":true,"Payload":%q}`, id, payload)
}

// largeWork returns a request with the largest payload, in a body of entryBodyBytes.
func largeWork() []byte {
	body := []byte(entryWork("large", base64.StdEncoding.EncodeToString(make([]byte, task.MaxPayloadBytes))))
	return append(body, bytes.Repeat([]byte(" "), entryBodyBytes-len(body))...)
}

// authorised returns the request line and the headers of a request with a token, but for the last
// ones.
func authorised(path, token string) string {
	return requestTo(path) + "Authorization: Bearer " + token + "\r\n"
}

// bodySender is like sender for the project's own protocol.
func bodySender(path, token, header string, coded []byte, pieces int) func(net.Conn, int) error {
	return func(connection net.Conn, client int) error {
		if _, err := fmt.Fprintf(connection, "%s%s\r\n\r\n", authorised(path, token), header); err != nil {
			return err
		}
		if client >= completing {
			return sendPieces(connection, coded[:len(coded)-missingBytes], pieces, piecePause)
		}
		return sendPieces(connection, coded, pieces, piecePause)
	}
}

// The tests below guard against the same as those of a host on the users' platform.

func TestEntryLargeBodiesAtOnce(t *testing.T) {
	h := startEntry(t)
	body := largeWork()
	h.attack(clients, bodySender(workPath, teamToken, lengthHeader(len(body)), body, 1))
	h.check()
}

func TestEntryLargeBodiesPieceByPiece(t *testing.T) {
	h := startEntry(t)
	body := largeWork()
	h.attack(clients, bodySender(workPath, teamToken, lengthHeader(len(body)), body, pieces))
	h.check()
}

func TestEntryLargeChunks(t *testing.T) {
	h := startEntry(t)
	h.attack(clients, bodySender(workPath, teamToken, chunkedHeader, chunked(largeWork(), largeChunk), 1))
	h.check()
}

func TestEntrySmallChunks(t *testing.T) {
	h := startEntry(t)
	h.attack(clients, bodySender(workPath, teamToken, chunkedHeader, chunked(largeWork(), smallChunk), 1))
	h.check()
}

func TestEntryHeadersWithoutEnd(t *testing.T) {
	h := startEntry(t)
	h.attack(clients, inTurn(endlessHeaders(workPath)...))
	h.check()
}

func TestEntryEmptyLinesAndTrailers(t *testing.T) {
	h := startEntry(t)
	h.attack(clients, inTurn(append(emptyLines(), endlessBodies(workPath)...)...))
	h.check()
}

func TestEntryConnectionsWithoutRequests(t *testing.T) {
	for name, port := range map[string]int{"Callers": callerPort, "Operators": operatorPort, "Peers": peerPort} {
		t.Run(name, func(t *testing.T) {
			h := startEntry(t)
			h.attackPort(port, connected, func(net.Conn, int) error { return nil })
			h.check()
		})
	}
}

// Guards against bodies of legal size that take many times their size when they are decoded.
func TestEntryExpandingDocuments(t *testing.T) {
	h := startEntry(t)
	var document strings.Builder
	document.WriteString(`{"Drained":[""`)
	for document.Len() < documentBytes-8 {
		document.WriteString(`,""`)
	}
	document.WriteString("]}")
	body := []byte(document.String())
	h.attackPort(operatorPort, expanding, func(connection net.Conn, _ int) error {
		return bodySender(documentPath, operatorToken, lengthHeader(len(body)), body, 1)(connection, 0)
	})
	h.check()
}

func TestEntryDocumentsAtOnce(t *testing.T) {
	h := startEntry(t)
	body := []byte(`{"Teams":{}}` + strings.Repeat(" ", documentBytes-12))
	h.attackPort(operatorPort, clients, bodySender(documentPath, operatorToken, lengthHeader(len(body)), body, 1))
	h.check()
}

func TestEntryOtherPorts(t *testing.T) {
	for _, p := range []struct {
		name string
		port int
		path string
	}{{"Operators", operatorPort, documentPath}, {"Peers", peerPort, "/peer"}} {
		t.Run(p.name, func(t *testing.T) {
			h := startEntry(t)
			h.attackPort(p.port, portClients, inTurn(allKinds(p.path)...))
			h.check()
		})
	}
}

func TestEntryLargeMessagesOfHosts(t *testing.T) {
	h := startEntry(t)
	h.attackLinks(peerPort, kindCall)
	h.check()
}

func TestEntryNamesOfHosts(t *testing.T) {
	h := startEntry(t)
	h.attackNames(peerPort)
	h.check()
}

// Guards against hosts that accept more work than they have memory for: work with large payloads that
// waits for the only worker.
func TestEntryMuchWork(t *testing.T) {
	const works = 30
	h := startEntry(t)
	payload := base64.StdEncoding.EncodeToString(make([]byte, task.MaxPayloadBytes/2))
	var accepted, refused atomic.Int64
	h.attack(submitters, func(connection net.Conn, client int) error {
		answers := bufio.NewReader(connection)
		for i := range works {
			body := fmt.Sprintf(`{"ID":"w-%d-%d","Kind":"Batch","Size":{"Processors":16,"Memory":"64MiB"},"RunTime":"1m","FirstTry":true,"Payload":%q}`, client, i, payload)
			if _, err := fmt.Fprintf(connection, "%s%s\r\n\r\n%s", authorised(workPath, teamToken), lengthHeader(len(body)), body); err != nil {
				return err
			}
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return err
			}
			if response.StatusCode == http.StatusAccepted {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		}
		return nil
	})
	h.c.Logf("%d accepted, %d refused", accepted.Load(), refused.Load())
	h.check()
}

// Guards against limits that refuse a single caller within the limits when there is no attack: the
// largest body, in chunks of one byte.
func TestEntrySlowBodyInCalm(t *testing.T) {
	const slowPieces = 100
	h := startEntry(t)
	connection, err := net.Dial("tcp", h.address(callerPort))
	h.c.Assert(err, qt.IsNil)
	h.c.Cleanup(func() { _ = connection.Close() })
	h.c.Assert(connection.SetDeadline(deadlineOfSends()), qt.IsNil)
	h.c.Assert(bodySender(workPath, teamToken, chunkedHeader, chunked(largeWork(), 1), slowPieces)(connection, 0), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(response.Body.Close(), qt.IsNil)
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	h.check()
}
