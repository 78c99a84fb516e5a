package peer

import (
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

// frame is one message on the wire; a WebSocket message holds an array of them.
// The sender is known from the opening of the connection.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind code
	Body []byte
}

// code is a Kind on the wire: its place in kinds.
type code uint8

// kinds is in the order of codes. New kinds come last; a receiver drops a code
// that it does not know.
var kinds = []Kind{
	"", KindCall, KindAnswer, KindCommand, KindReport, KindUsage, KindDigest,
	KindOwnership, KindConfiguration, KindApplied, KindDigestWanted,
	KindEpochs, KindEpochsKnown, KindSummary,
	KindJobCall, KindJobAnswer, KindQuestion, KindAdvice, KindTenure,
	KindWorkerCalls, KindWorkerAnswers,
}

// codeOf returns the code of a kind, or 0 if there is none.
func codeOf(k Kind) code { return code(max(0, slices.Index(kinds, k))) }

// kind returns the kind of a code, or "" if it is not known.
func (c code) kind() Kind {
	if int(c) >= len(kinds) {
		return ""
	}
	return kinds[c]
}

// decodeFrames reads a WebSocket message.
func decodeFrames(data []byte) ([]frame, error) {
	var frames []frame
	if err := codec.Unmarshal(data, &frames); err != nil {
		return nil, errors.Annotate(err, "frames")
	}
	return frames, nil
}
