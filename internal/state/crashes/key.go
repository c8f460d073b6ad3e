package crashes

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of what may crash upstreams.
type Kind string

// Kinds of suspects.
const (
	// PromptPart is a part that prompts share.
	PromptPart Kind = "prompt part"
	// WholeRequest is a request that callers repeat.
	WholeRequest Kind = "request"
)

// wholeRequestBit is set in the keys of whole requests.
const wholeRequestBit uint32 = 1 << 31

// Key returns the key of a part: the hash of the cache scope of its workspace and of
// its ID. It is never zero.
func Key(scope, partID string) uint32 {
	return max(1, uint32(xxhash.Sum64String(scope+"\x00"+partID))&^wholeRequestBit)
}

// RequestKey returns the key of a request, the hash of all that callers repeat when
// they send it again: the body and fields such as its workspace and target.
func RequestKey(body []byte, fields ...string) uint32 {
	hash := xxhash.New()
	var length [8]byte
	for _, field := range fields {
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(length[:0], uint64(len(field))))
		_, _ = hash.WriteString(field)
	}
	_, _ = hash.Write(body)
	return uint32(hash.Sum64()) | wholeRequestBit
}

// KindOf returns the kind of the suspect with the given key.
func KindOf(key uint32) Kind {
	if key&wholeRequestBit != 0 {
		return WholeRequest
	}
	return PromptPart
}
