package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// job is what a client hands in. Steps use the short names of names.json where there is one.
type job struct {
	id       string
	spec     spec
	steps    []map[string]any
	first    int64
	interval int64
	repeats  int
}

func newID() string {
	b := make([]byte, 8)
	// Read never fails.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (j job) document() []byte {
	text, err := json.Marshal(j.spec)
	if err != nil {
		panic(err)
	}
	var steps []map[string]any
	for _, s := range j.steps {
		step := map[string]any{}
		for name, value := range s {
			if full, ok := names[name]; ok {
				name = full
			}
			step[name] = value
		}
		steps = append(steps, step)
	}
	document := map[string]any{"spec": string(text), "steps": steps}
	if j.repeats > 0 {
		document["first_ms"], document["interval_ms"], document["repeats"] = j.first, j.interval, j.repeats
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// catalogue returns a manifest with the given queues, which all lead to one service.
func catalogue(queues ...string) []byte {
	var list []platformstandin.Queue
	for _, q := range queues {
		list = append(list, platformstandin.Queue{Name: q, Attempts: 3})
	}
	data, err := platformstandin.CatalogueDocument(7, "nony24.example", list)
	if err != nil {
		panic(err)
	}
	return data
}

// wave returns an operator's wave.
func wave(number int, machines []string, withinS, maxCount int) (key string, value []byte) {
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "within_s": withinS, "max_count": maxCount})
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("wave/%d", number), data
}
