package peer

import (
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

// frame is one message on the wire; a WebSocket message holds an array of them.
// The sender is known from the header of the connection request.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind kindCode
	Body []byte
}

// kindCode is the wire form of a Kind: its index in kindsByCode.
type kindCode uint8

// kindsByCode is ordered by code. New kinds must be appended; a receiver drops
// messages with an unknown code.
var kindsByCode = []Kind{
	"", KindCall, KindAnswer, KindCommand, KindReport, KindUsage, KindDigest,
	KindOwnership, KindConfiguration, KindApplied, KindDigestWanted,
	KindEpochs, KindEpochsKnown, KindSummary,
	KindJobCall, KindJobAnswer, KindQuestion, KindAdvice, KindTenure,
	KindWorkerCalls, KindWorkerAnswers,
}

// codeOf returns the code of a kind, or 0 if there is none.
func codeOf(k Kind) kindCode { return kindCode(max(0, slices.Index(kindsByCode, k))) }

// kind returns the kind of a code, or "" if it is not known.
func (c kindCode) kind() Kind {
	if int(c) >= len(kindsByCode) {
		return ""
	}
	return kindsByCode[c]
}

// decodeFrames reads a WebSocket message.
func decodeFrames(data []byte) ([]frame, error) {
	var frames []frame
	if err := codec.Unmarshal(data, &frames); err != nil {
		return nil, errors.Annotate(err, "decode frames")
	}
	return frames, nil
}
