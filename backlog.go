package comfreyworks

import (
	"encoding/binary"
	"errors"
)

// NumPriorities is the number of priorities that engines distinguish. 0 is the
// most urgent.
const NumPriorities = 10

// PrefillBacklog is the number of prompt tokens that an engine has yet to
// prefill, indexed by the priority of their requests.
type PrefillBacklog [NumPriorities]int

// Ahead returns the number of tokens that are prefilled before a new request of
// the given priority: those of the same priority and of more urgent ones. A
// priority out of range counts as the nearest valid one.
func (b *PrefillBacklog) Ahead(priority int) int {
	tokens := 0
	for _, n := range b[:clampPriority(priority)+1] {
		tokens += n
	}
	return tokens
}

// AddTokens adds tokens at a priority; a negative number subtracts. A priority
// out of range counts as the nearest valid one.
func (b *PrefillBacklog) AddTokens(priority, tokens int) { b[clampPriority(priority)] += tokens }

// Add adds the token counts of other, priority by priority.
func (b *PrefillBacklog) Add(other *PrefillBacklog) {
	for i, n := range other {
		b[i] += n
	}
}

func clampPriority(priority int) int { return min(max(priority, 0), NumPriorities-1) }

// GobEncode implements gob.GobEncoder. For each priority that has tokens it
// writes the priority as one byte and the token count as a varint, because most
// priorities have none.
func (b PrefillBacklog) GobEncode() ([]byte, error) {
	var encoded []byte
	for priority, n := range b {
		if n != 0 {
			encoded = append(encoded, byte(priority))
			encoded = binary.AppendVarint(encoded, int64(n))
		}
	}
	return encoded, nil
}

// maxBacklogTokens is the highest number of tokens of a priority that is believed. The
// sum over all priorities and many gateways stays within the range of an int.
const maxBacklogTokens = 1 << 48

// GobDecode implements gob.GobDecoder. It returns an error if a priority is out
// of range or a token count is cut off or too large for its encoding. Counts beyond
// what makes sense become the nearest one that does, so that the rest of the message
// can be used.
func (b *PrefillBacklog) GobDecode(encoded []byte) error {
	*b = PrefillBacklog{}
	for len(encoded) > 0 {
		n, length := binary.Varint(encoded[1:])
		if length <= 0 || encoded[0] >= NumPriorities {
			return errors.New("decode prefill backlog: priority out of range or malformed token count")
		}
		b[encoded[0]] = int(min(max(n, 0), maxBacklogTokens))
		encoded = encoded[1+length:]
	}
	return nil
}
