package breakdown

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// maxLineLength bounds a log line, in bytes. The longest field is an error's text.
	maxLineLength = 64 << 10
	// maxSamples bounds the number of malformed lines that are quoted.
	maxSamples = 10
	// maxSampleLength bounds the quoted part of a malformed line, in bytes.
	maxSampleLength = 60
)

// line holds the decoded fields of a log line.
type line struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	// Host is the host that wrote the line.
	Host    string `json:"host"`
	Job     string `json:"job"`
	Task    string `json:"task"`
	Worker  string `json:"worker"`
	Carrier string `json:"carrier"`
	Queue   string `json:"queue"`
	Why     string `json:"why"`
	Verb    string `json:"verb"`
	Outcome string `json:"outcome"`
	Zone    string `json:"zone"`
	// Version is that of a configuration; Count is the number of dropped lines.
	Version int64 `json:"version"`
	Count   int   `json:"count"`
	// Run is the number of a task's run, from 1.
	Run int `json:"run"`
	// Owner, Linked and Fence describe a takeover.
	Owner  string `json:"owner"`
	Linked bool   `json:"linked"`
	Fence  int64  `json:"fence"`
	// AgeMS and MS are durations, AwayMS is how long the store was unavailable and CommitMS
	// the mean commit time, all in milliseconds.
	AgeMS    float64 `json:"age_ms"`
	MS       float64 `json:"ms"`
	AwayMS   float64 `json:"away_ms"`
	CommitMS float64 `json:"commit_ms"`
	// AimMS is the latency objective of a job, Work its estimate in processor-seconds and
	// Worth its worth. SentMS is the time from the placement of a run until its order was
	// sent, UnheardMS how long before the line the run may have ended. Each is nil if the
	// line lacks it.
	AimMS     *float64 `json:"aim_ms"`
	Work      *float64 `json:"work_s"`
	Worth     *float64 `json:"worth"`
	SentMS    *float64 `json:"sent_ms"`
	UnheardMS *float64 `json:"unheard_ms"`
}

// Lines counts the lines of the input by how they could be read.
type Lines struct {
	// Read counts the log lines, Foreign the lines of any other kind.
	Read, Foreign int
	// Malformed counts the lines that look like log lines but cannot be decoded;
	// MalformedSamples quotes the first of them.
	Malformed        int
	MalformedSamples []string
	// Dropped counts the lines that hosts discarded for lack of buffer space.
	Dropped int
}

// scanner reads log lines. Its zero value has no input.
type scanner struct {
	input  *bufio.Reader
	counts Lines
	// lineNumber is the number of the last line read, from 1.
	lineNumber int
	// origin is second 0 of the collector if its prefix has seconds, or else the time of the
	// earliest line.
	origin           time.Time
	hasCollectorTime bool
	// lastRead is the time of the last line that was read; lastLost is the approximate time
	// of the last line that was malformed or dropped, or zero.
	lastRead, lastLost time.Time
}

// next returns the next log line, or io.EOF at the end.
func (s *scanner) next() (line, error) {
	for {
		text, long, err := s.readLine()
		if err != nil {
			return line{}, err
		}
		if len(text) == 0 {
			continue
		}
		begin := bytes.IndexByte(text, '{')
		if begin < 0 && !long {
			s.counts.Foreign++
			continue
		}
		var l line
		if long || json.Unmarshal(text[begin:], &l) != nil || l.Message == "" {
			s.addMalformed(text)
			continue
		}
		if l.Message == "lines: dropped" {
			s.counts.Dropped += l.Count
			s.lastLost = later(s.lastLost, s.lastRead)
			continue
		}
		if l.Time.IsZero() {
			s.addMalformed(text)
			continue
		}
		s.counts.Read++
		s.lastRead = l.Time
		s.setOrigin(text[:begin], l.Time)
		return l, nil
	}
}

// readLine returns the next line without its terminator, and whether it was truncated
// because it exceeded the buffer.
func (s *scanner) readLine() ([]byte, bool, error) {
	text, err := s.input.ReadSlice('\n')
	long := false
	for rest := err; rest == bufio.ErrBufferFull; {
		if !long {
			text = bytes.Clone(text[:maxSampleLength])
		}
		long = true
		_, rest = s.input.ReadSlice('\n')
		err = rest
	}
	if err != nil && (err != io.EOF || len(text) == 0) {
		if err != io.EOF {
			err = errors.Annotate(err, "log")
		}
		return nil, false, err
	}
	s.lineNumber++
	return bytes.TrimSpace(text), long, nil
}

func (s *scanner) addMalformed(text []byte) {
	s.counts.Malformed++
	s.lastLost = later(s.lastLost, s.lastRead)
	if len(s.counts.MalformedSamples) < maxSamples {
		s.counts.MalformedSamples = append(s.counts.MalformedSamples, fmt.Sprintf("%d: %s", s.lineNumber, text[:min(len(text), maxSampleLength)]))
	}
}

// setOrigin derives the origin from the collector's seconds, if the line has them as a
// prefix, or else from the time of the earliest line.
func (s *scanner) setOrigin(before []byte, at time.Time) {
	if s.hasCollectorTime {
		return
	}
	fields := bytes.Fields(before)
	if len(fields) > 0 {
		if second, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
			s.origin, s.hasCollectorTime = at.Add(-milliseconds(1000*second)), true
			return
		}
	}
	s.origin = earlier(s.origin, at)
}
