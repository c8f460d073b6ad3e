package comfreyworks

import (
	"encoding/binary"
	"errors"
)

// NumPriorities is the number of priorities that engines tell apart; 0 is the most
// urgent.
const NumPriorities = 10

// PrefillBacklog is the number of prompt tokens that an engine has yet to read, by
// priority.
type PrefillBacklog [NumPriorities]int

// Ahead returns the tokens that are read before a new request of a priority.
func (b *PrefillBacklog) Ahead(priority int) int {
	tokens := 0
	for _, n := range b[:clampPriority(priority)+1] {
		tokens += n
	}
	return tokens
}

// AddTokens adds tokens, or takes away tokens if negative, at a priority.
func (b *PrefillBacklog) AddTokens(priority, tokens int) { b[clampPriority(priority)] += tokens }

// Add adds another backlog.
func (b *PrefillBacklog) Add(other *PrefillBacklog) {
	for i, n := range other {
		b[i] += n
	}
}

func clampPriority(priority int) int { return min(max(priority, 0), NumPriorities-1) }

// GobEncode implements gob.GobEncoder: pairs of a priority and its tokens, as
// most priorities have none.
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

// GobDecode implements gob.GobDecoder.
func (b *PrefillBacklog) GobDecode(encoded []byte) error {
	*b = PrefillBacklog{}
	for len(encoded) > 0 {
		n, length := binary.Varint(encoded[1:])
		if length <= 0 || encoded[0] >= NumPriorities {
			return errors.New("backlog cannot be read")
		}
		b[encoded[0]] = int(n)
		encoded = encoded[1+length:]
	}
	return nil
}
