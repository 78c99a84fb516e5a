package peer

import (
	"maps"
	"sync"
)

// Count is a number of messages and their total size.
type Count struct {
	Messages int64
	Bytes    int64
}

func (c Count) plus(messages, bytes int) Count {
	return Count{Messages: c.Messages + int64(messages), Bytes: c.Bytes + int64(bytes)}
}

// LinkStats counts the messages between this member and another one, by kind.
type LinkStats struct {
	Sent     map[Kind]Count
	Received map[Kind]Count
	// Refused counts messages that found the queue full or the link down.
	Refused map[Kind]int64
	// Waiting is the number of messages queued now.
	Waiting int
	// Up reports whether there is a connection.
	Up bool
}

// Stats holds the counters of a hub. Bytes of a link are those of message bodies;
// bytes between regions are those of encoded batches.
type Stats struct {
	// Links is keyed by member.
	Links map[string]LinkStats
	// Regions is keyed by sending and then by receiving region.
	Regions map[string]map[string]Count
	// Dropped counts received messages that found their subscriber's queue full.
	Dropped map[Kind]int64
}

// traffic counts messages. The zero value is ready to use.
type traffic struct {
	mu      sync.Mutex
	links   map[string]LinkStats
	regions map[string]map[string]Count
	// regionOf returns the region of a member; nil disables counts by region.
	regionOf func(member string) string
	self     string
}

func (t *traffic) linkStats(member string) LinkStats {
	if t.links == nil {
		t.links = map[string]LinkStats{}
	}
	s, ok := t.links[member]
	if !ok {
		s = LinkStats{Sent: map[Kind]Count{}, Received: map[Kind]Count{}, Refused: map[Kind]int64{}}
		t.links[member] = s
	}
	return s
}

func (t *traffic) countSent(member string, frames []frame, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	countFrames(t.linkStats(member).Sent, frames)
	t.countRegions(t.self, member, len(frames), bytes)
}

func (t *traffic) countReceived(member string, frames []frame, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	countFrames(t.linkStats(member).Received, frames)
	t.countRegions(member, t.self, len(frames), bytes)
}

// forget removes the counts of some members.
func (t *traffic) forget(isForgotten func(member string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.links, func(member string, _ LinkStats) bool { return isForgotten(member) })
}

func (t *traffic) countRefused(member string, k Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkStats(member).Refused[k]++
}

func countFrames(counts map[Kind]Count, frames []frame) {
	for _, f := range frames {
		k := f.Kind.kind()
		counts[k] = counts[k].plus(1, len(f.Body))
	}
}

func (t *traffic) countRegions(from, to string, messages, bytes int) {
	if t.regionOf == nil {
		return
	}
	source, target := t.regionOf(from), t.regionOf(to)
	if t.regions == nil {
		t.regions = map[string]map[string]Count{}
	}
	if t.regions[source] == nil {
		t.regions[source] = map[string]Count{}
	}
	t.regions[source][target] = t.regions[source][target].plus(messages, bytes)
}

// Stats returns a copy of the counters.
func (h *Hub) Stats() Stats {
	s := Stats{Links: map[string]LinkStats{}, Regions: map[string]map[string]Count{}, Dropped: map[Kind]int64{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, sub := range h.subscribers {
		s.Dropped[k] = sub.dropped.Load()
	}
	h.traffic.mu.Lock()
	defer h.traffic.mu.Unlock()
	for member, l := range h.traffic.links {
		l = LinkStats{Sent: maps.Clone(l.Sent), Received: maps.Clone(l.Received), Refused: maps.Clone(l.Refused)}
		if link, ok := h.links[member]; ok {
			l.Waiting, l.Up = link.queue.length(), link.queue.isOpen()
		}
		s.Links[member] = l
	}
	for source, targets := range h.traffic.regions {
		s.Regions[source] = maps.Clone(targets)
	}
	return s
}
