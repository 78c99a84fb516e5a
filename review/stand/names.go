package main

import (
	_ "embed"
	"encoding/json"
	"net/http"
)

//go:embed names.json
var namesFile []byte

// names maps short names to paths and fields of the users' protocol.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// body is the JSON body of a call.
type body map[string]any

func readBody(r *http.Request) (body, bool) {
	b := body{}
	err := json.NewDecoder(r.Body).Decode(&b)
	return b, err == nil
}

func (b body) number(short string) int64 {
	n, _ := b[names[short]].(float64)
	return int64(n)
}

func (b body) text(field string) string {
	s, _ := b[field].(string)
	return s
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
