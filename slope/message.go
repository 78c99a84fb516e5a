package slope

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// now is the time in every message; like a real one, it is not close to the
// zero time.
var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// taskSize is the size of every task.
var taskSize = task.Size{Processors: 3500, Memory: 14 * task.Gibibyte, Slots: 1}

// encode encodes a message as it is sent or stored.
type encode func(value any) ([]byte, error)

// encodedSizes measures the encoded size of a message at several sizes of its
// content.
func encodedSizes(name, sizeUnit string, sizes []int, encoder encode, message func(n int) any) (Slope, error) {
	s := Slope{Name: name, CostUnit: "bytes", SizeUnit: sizeUnit}
	for _, n := range sizes {
		data, err := encoder(message(n))
		if err != nil {
			return s, errors.Annotate(err, name)
		}
		s.Points = append(s.Points, Point{float64(n), float64(len(data))})
	}
	return s, nil
}

func attemptID(n int) task.AttemptID {
	return task.AttemptID{Work: newWork(n).Key(), Task: n % 20, Number: 1}
}

func newWork(n int) task.Work {
	return task.Work{
		Team: fmt.Sprintf("team-%03d", n%540), ID: fmt.Sprintf("run-%08d", n), Kind: task.Batch, Tasks: 1,
		Size: task.Size{Processors: 3500, Memory: 14 * task.Gibibyte}, RunTime: time.Minute, Idempotent: true,
		Family: "reconciliation", Region: "region-0",
	}
}

// busyRack returns a rack of n workers with two attempts each.
func busyRack(name string, n int) *rack.Rack {
	r := rack.New(name, "region-0", "zone-00", 7)
	capacity := task.Size{Processors: 64000, Memory: 256 * task.Gibibyte, Slots: 16, Connections: 64}
	for i := range n {
		id := fmt.Sprintf("worker-%s-%d", name, i)
		r.SetWorker(id, rack.Up, capacity)
		r.Adopt(attemptID(2*i), taskSize, id)
		r.Adopt(attemptID(2*i+1), taskSize, id)
	}
	return r
}

func digestBytes() (Slope, error) {
	return encodedSizes("whole digest of a rack (CBOR)", "worker", []int{2, 4, 8, 16}, codec.Marshal, func(n int) any {
		return peer.Digests{Changes: []peer.DigestChange{peer.NewDigestChange(rack.Digest{}, busyRack("rack-0001", n).Digest())}}
	})
}

func changeBytes() (Slope, error) {
	return encodedSizes("change of a digest (CBOR)", "worker that changed", []int{1, 2, 4, 8}, codec.Marshal, func(n int) any {
		r := busyRack("rack-0001", 8)
		older := r.Digest()
		for i := range n {
			r.Adopt(attemptID(1000+i), taskSize, older.Workers[i].ID)
		}
		return peer.Digests{Changes: []peer.DigestChange{peer.NewDigestChange(older, r.Digest())}}
	})
}

func memberBytes() (Slope, error) {
	return encodedSizes("rows of all members (JSON)", "member", []int{8, 100, 1000}, json.Marshal, func(n int) any {
		var rows []member.Member
		for i := range n {
			rows = append(rows, member.Member{ID: fmt.Sprintf("entry-%04d", i), Instance: "3f0c2a52-8f7e-4c93-9a51-0d7b6d1f8a11",
				Address: "10.20.30.40:7400", Region: "region-0", Zone: "zone-00", State: "Active", Beat: 123456})
		}
		return rows
	})
}

func ownerBytes() (Slope, error) {
	return encodedSizes("rows of all owners (JSON)", "rack or partition", []int{20, 200, 2000}, json.Marshal, func(n int) any {
		var rows []partition.Claim
		for i := range n {
			rows = append(rows, partition.Claim{Owner: fmt.Sprintf("entry-%04d", i), Instance: "3f0c2a52-8f7e-4c93-9a51-0d7b6d1f8a11", Epoch: 12})
		}
		return rows
	})
}

func commandBytes() (Slope, error) {
	return encodedSizes("command to a rack's owner (CBOR)", "byte of payload", []int{0, 256, 1024}, codec.Marshal, func(n int) any {
		return peer.Command{Partition: "region-0-001", Epoch: 12, Command: decision.Command{
			Verb: decision.Place, Attempt: attemptID(1), Rack: "rack-0001", Worker: "worker-00012",
			Size: taskSize, Kind: task.Batch, RunTime: time.Minute, Payload: make([]byte, n),
		}}
	})
}

func reportBytes() (Slope, error) {
	return encodedSizes("report of an end (CBOR)", "byte of answer", []int{0, 256, 1024}, codec.Marshal, func(n int) any {
		return decision.Report{Status: decision.Ended, Attempt: attemptID(1), Rack: "rack-0001", Worker: "worker-00012",
			Epoch: 12, Sequence: 123456, Outcome: task.Succeeded, Body: make([]byte, n), Used: taskSize}
	})
}

func newBatch(n int) worker.Batch {
	b := worker.Batch{Owner: "entry-0001", Epoch: 12, Session: 1234567, Instance: "3f0c2a52-8f7e-4c93-9a51-0d7b6d1f8a11",
		Number: 123456, Until: time.Hour, StartBy: time.Hour}
	for i := range n {
		b.Commands = append(b.Commands, worker.Command{Verb: worker.Start, Attempt: attemptID(i), Size: taskSize, RunTime: time.Minute})
	}
	return b
}

// entryBytes measures the size of the three journal entries of a piece of work
// with one task.
func entryBytes() (Slope, error) {
	return encodedSizes("journal entries of work (CBOR)", "piece of work", []int{1, 10, 100, 500}, codec.Marshal, func(n int) any {
		var entries []record.Entry
		for i := range n {
			entries = append(entries, workEntries(i)...)
		}
		return entries
	})
}

func workEntries(n int) []record.Entry {
	w := newWork(n)
	answer := task.Answer{Team: w.Team, ID: w.ID, State: task.Ran, Workers: []string{"worker-00012"}, Bodies: [][]byte{nil}, Waited: time.Second}
	return []record.Entry{
		{Verb: record.Accept, At: now, Work: &w},
		{Verb: record.Begin, At: now, Begun: []record.Begun{{Attempt: attemptID(n), Rack: "rack-0001"}}},
		{Verb: record.Final, At: now, Answer: &answer},
	}
}

func hostBytes() (Slope, error) {
	return encodedSizes("list of workers (JSON)", "worker", []int{50, 500, 5000}, json.Marshal, func(n int) any {
		var hosts []tablestore.Host
		for i := range n {
			hosts = append(hosts, tablestore.Host{ID: fmt.Sprintf("worker-%05d", i), Rack: fmt.Sprintf("rack-%04d", i/8),
				Zone: "zone-00", Region: "region-0", Address: "10.20.30.40:7100", State: tablestore.Live})
		}
		return hosts
	})
}

func configurationBytes() (Slope, error) {
	return encodedSizes("row of the configuration (JSON)", "team", []int{10, 100, 540}, json.Marshal, func(n int) any {
		c := configuration.Configuration{Version: 7300, Teams: map[string]configuration.Team{}}
		for i := range n {
			c.Teams[fmt.Sprintf("team-%03d", i)] = configuration.Team{Quota: quantity.FromTaskSize(taskSize.Times(100)), Weight: 2, Home: "region-0"}
		}
		return c
	})
}
