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
	// maxLineLength bounds a line of a log, in bytes. The longest field is an error's text.
	maxLineLength = 64 << 10
	// maxSamples is how many malformed lines are named; the others are counted.
	maxSamples = 10
	// maxSampleLength is how much of a malformed line is quoted, in bytes.
	maxSampleLength = 60
)

// line is what is read of a line of a log.
type line struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	// Host wrote the line.
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
	// Owner, Linked and Fence are of a takeover.
	Owner  string `json:"owner"`
	Linked bool   `json:"linked"`
	Fence  int64  `json:"fence"`
	// AgeMS and MS are how long something took, AwayMS how long the store was away and
	// CommitMS the mean time of a commit, in milliseconds.
	AgeMS    float64 `json:"age_ms"`
	MS       float64 `json:"ms"`
	AwayMS   float64 `json:"away_ms"`
	CommitMS float64 `json:"commit_ms"`
	// AimMS is the objective of a job in milliseconds, Work its estimate in
	// processor-seconds, Worth what it is worth. SentMS is how long after its placement
	// the order of a run left, UnheardMS how long before the line the run may have ended.
	// Each is nil on lines that lack it.
	AimMS     *float64 `json:"aim_ms"`
	Work      *float64 `json:"work_s"`
	Worth     *float64 `json:"worth"`
	SentMS    *float64 `json:"sent_ms"`
	UnheardMS *float64 `json:"unheard_ms"`
}

// Lines tells how much of the input could be read.
type Lines struct {
	// Read counts the lines of logs, Foreign those of anything else.
	Read, Foreign int
	// Malformed counts the lines that begin like those of a log but can't be read, of
	// which Named quotes the first.
	Malformed        int
	MalformedSamples []string
	// Dropped counts the lines that hosts had no room for.
	Dropped int
}

// scanner reads lines. Its zero value has no input.
type scanner struct {
	input *bufio.Reader
	lines Lines
	// lineNumber is that of the last line read.
	lineNumber int
	// origin is the time at which the collector's seconds begin, or else the first line.
	origin           time.Time
	hasCollectorTime bool
	// lastRead is the time of the last line that was read; lost is that of the last line that
	// was not, about, or zero.
	lastRead, lastLost time.Time
}

// next returns the next line of a log. It returns io.EOF at the end.
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
			s.lines.Foreign++
			continue
		}
		var l line
		if long || json.Unmarshal(text[begin:], &l) != nil || l.Message == "" {
			s.addMalformed(text)
			continue
		}
		if l.Message == "lines: dropped" {
			s.lines.Dropped += l.Count
			s.lastLost = later(s.lastLost, s.lastRead)
			continue
		}
		if l.Time.IsZero() {
			s.addMalformed(text)
			continue
		}
		s.lines.Read++
		s.lastRead = l.Time
		s.setOrigin(text[:begin], l.Time)
		return l, nil
	}
}

// readLine returns the next line without its end, and whether it was cut for length.
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
	s.lines.Malformed++
	s.lastLost = later(s.lastLost, s.lastRead)
	if len(s.lines.MalformedSamples) < maxSamples {
		s.lines.MalformedSamples = append(s.lines.MalformedSamples, fmt.Sprintf("%d: %s", s.lineNumber, text[:min(len(text), maxSampleLength)]))
	}
}

// setOrigin finds the beginning of the collector's seconds, which a line may begin with.
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
