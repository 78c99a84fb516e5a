package wal_test

import (
	"context"
	"testing"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/wal"
)

// FuzzOpen opens journals with a corrupt row or snapshot. Open must return an error or
// valid entries, and must not panic.
func FuzzOpen(f *testing.F) {
	row, err := codec.Marshal(map[int]any{1: "e1", 2: 1, 3: []record.Entry{entry(record.Final, "a")}})
	if err != nil {
		f.Fatal(err)
	}
	object, err := codec.Marshal(map[int]any{1: 3, 2: []record.Entry{entry(record.Final, "a")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("journal/p/0000000000000004", row, []byte(`{"Object":"o","Covers":3}`), object)
	f.Add("journal/p/0000000000000004", []byte{}, []byte{}, []byte{})
	f.Add("snapshot/p/s/0000", object, []byte(`{"Object":"snapshot/p/s","Pages":1,"Covers":3}`), object)
	f.Add("snapshot/p/s/0000", row, []byte(`{"Object":"snapshot/p/s","Pages":2,"Covers":3}`), object)
	f.Add("journal/p/x", row, []byte(`{"Object":"","Covers":0}`), object)
	f.Fuzz(func(t *testing.T, key string, row, pointer, object []byte) {
		s := newStore()
		s.rows[key] = tablestore.Row{Key: key, Version: 1, Value: row}
		s.rows["snapshot/p"] = tablestore.Row{Key: "snapshot/p", Version: 2, Value: pointer}
		s.objects["o"] = object
		_, entries, err := wal.Open(context.Background(), wal.Store{Table: s, Objects: s}, "p", "e2", 2)
		if err != nil {
			return
		}
		for _, e := range entries {
			if err := e.Check(); err != nil {
				t.Fatal(err)
			}
			e.Key()
		}
	})
}
