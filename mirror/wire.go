package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

// Path is the URL path at which a host answers the others of its region.
const Path = "/mirror"

const (
	// maxRequestBytes bounds a request, which names each row of the table.
	maxRequestBytes = 256 << 10
	// maxValueBytes bounds the value of a row, and maxAnswerBytes an answer.
	maxValueBytes  = 8 << 20
	maxAnswerBytes = 16 << 20
	// maxWait bounds the time for which a request may ask to wait.
	maxWait = 5 * time.Second
)

// wireVersion names a row that the asking host has.
type wireVersion struct {
	Part    string         `cbor:"1,keyasint,omitempty"`
	Key     string         `cbor:"2,keyasint"`
	Version ledger.Version `cbor:"3,keyasint"`
}

// request asks for the rows that are newer than the known ones, and to wait for one.
type request struct {
	Known []wireVersion `cbor:"1,keyasint,omitempty"`
	Wait  time.Duration `cbor:"2,keyasint"`
	// MaxAge is the age from which the answering host's knowledge is too old.
	MaxAge time.Duration `cbor:"3,keyasint"`
}

// wireRow is a row with its compressed value.
type wireRow struct {
	Part       string         `cbor:"1,keyasint,omitempty"`
	Key        string         `cbor:"2,keyasint"`
	Version    ledger.Version `cbor:"3,keyasint"`
	Deleted    bool           `cbor:"4,keyasint,omitempty"`
	Compressed []byte         `cbor:"5,keyasint,omitempty"`
}

// answer holds the rows that the asking host lacks.
type answer struct {
	Rows []wireRow `cbor:"1,keyasint,omitempty"`
	// Version is the version of the store up to which the answering host has all changes.
	Version ledger.Version `cbor:"2,keyasint"`
	// Age is how long ago its rows were certainly those of the store.
	Age time.Duration `cbor:"3,keyasint"`
	// Pending reports whether the answering host is reading rows.
	Pending bool `cbor:"4,keyasint,omitempty"`
}

// ServeHTTP answers another host of the region. If this host has nothing recent to tell, the status is
// 202 if it is reading, and else 503. A GET is answered with 204 at once.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var q request
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = codec.Unmarshal(data, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := map[key]ledger.Version{}
	for _, v := range q.Known {
		known[key{v.Part, v.Key}] = v.Version
	}
	oldest := func() time.Duration { return clock.Now() - q.MaxAge }
	n, ok := s.table.await(r.Context(), known, max(0, min(maxWait, q.Wait)), oldest)
	if !ok {
		status := http.StatusServiceUnavailable
		if s.Pending() {
			status = http.StatusAccepted
		}
		w.WriteHeader(status)
		return
	}
	a, err := s.answer(n)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(a)))
	// An error means that the other host has disconnected.
	_, _ = w.Write(a)
}

func (s *Store) answer(n news) ([]byte, error) {
	a := answer{Version: n.version, Age: max(0, clock.Now()-n.confirmed), Pending: s.Pending()}
	for _, r := range n.rows {
		compressed, err := s.compressed(r)
		if err != nil {
			return nil, err
		}
		a.Rows = append(a.Rows, wireRow{Part: r.Part, Key: r.Key, Version: r.Version, Deleted: r.Deleted, Compressed: compressed})
	}
	return codec.Marshal(a)
}

// compressed returns the compressed value of a row, which is computed once.
func (s *Store) compressed(r *row) ([]byte, error) {
	s.compressing.Lock()
	defer s.compressing.Unlock()
	if r.compressed == nil && len(r.Value) > 0 {
		var buffer bytes.Buffer
		w, err := flate.NewWriter(&buffer, flate.BestSpeed)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if _, err := w.Write(r.Value); err != nil {
			return nil, errors.Trace(err)
		}
		if err := w.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		r.compressed = buffer.Bytes()
	}
	return r.compressed, nil
}

// decodeAnswer decodes an answer about a table.
func decodeAnswer(table string, data []byte) (a answer, rows []ledger.Row, err error) {
	if err := codec.Unmarshal(data, &a); err != nil {
		return answer{}, nil, errors.Trace(err)
	}
	if a.Version <= 0 || a.Age < 0 {
		return answer{}, nil, errors.NotValidf("answer of version %d and age %s", a.Version, a.Age)
	}
	for _, r := range a.Rows {
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Compressed)), maxValueBytes+1))
		switch {
		case len(r.Compressed) == 0:
			value = nil
		case err != nil:
			return answer{}, nil, errors.Annotatef(err, "row %q", r.Key)
		case len(value) > maxValueBytes:
			return answer{}, nil, errors.NotValidf("row %q of more than %d bytes", r.Key, maxValueBytes)
		}
		rows = append(rows, ledger.Row{Table: table, Part: r.Part, Key: r.Key, Value: value, Version: r.Version, Deleted: r.Deleted})
	}
	return a, rows, nil
}
