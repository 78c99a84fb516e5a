package configuration

import (
	"encoding/json"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// WithPatch returns a copy with a JSON Merge Patch (RFC 7396) applied; null
// resets a field to its default.
func (t Team) WithPatch(patch []byte) (Team, error) {
	old, err := json.Marshal(t)
	if err != nil {
		return Team{}, errors.Trace(err)
	}
	merged, err := jsonpatch.MergePatch(old, patch)
	if err != nil {
		return Team{}, errors.Annotate(err, "team")
	}
	var patched Team
	if err := quantity.DecodeStrict(merged, &patched); err != nil {
		return Team{}, errors.Annotate(err, "team")
	}
	return patched, patched.check()
}
