package cell

import (
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Remaining calls remaining for the newest run of a task.
func (c *Cell) Remaining(now time.Duration, id workload.TaskID, p float64) time.Duration {
	_, t := c.findTask(id)
	return c.remaining(now, t.runs[len(t.runs)-1], p)
}

// Fingerprint returns a hash of the whole state.
func (c *Cell) Fingerprint() uint64 {
	h := fnv.New64a()
	hashValue(h, reflect.ValueOf(c), map[uintptr]bool{})
	return h.Sum64()
}

func hashValue(h io.Writer, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !seen[v.Pointer()] {
			seen[v.Pointer()] = true
			hashValue(h, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			hashValue(h, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			hashValue(h, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintln(h, k)
			hashValue(h, v.MapIndex(k), seen)
		}
	default:
		fmt.Fprintln(h, v)
	}
}
