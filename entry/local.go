package entry

import (
	"strconv"
	"strings"

	"github.com/vanillaquay/vanillaquay/task"
)

// localSeparator separates the parts of the ID of work that a member runs on its own.
// IDs of callers never contain it.
const localSeparator = "~"

// localMember returns the member that runs the work on its own, if there is one.
func localMember(k task.Key) (member string, ok bool) {
	parts := strings.SplitN(k.ID, localSeparator, 3)
	if len(parts) < 3 {
		return "", false
	}
	return parts[2], true
}

// localKey returns the key under which a member runs work on its own. It differs from
// the caller's key, so that attempts at the owner of the work's partition are never
// mistaken for those of the member.
func localKey(k task.Key, member string, number uint64) task.Key {
	k.ID = strings.Join([]string{k.ID, strconv.FormatUint(number, 10), member}, localSeparator)
	return k
}

// callerID returns the ID that the caller gave to the work.
func callerID(k task.Key) string {
	id, _, _ := strings.Cut(k.ID, localSeparator)
	return id
}
