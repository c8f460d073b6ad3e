package comfreyworks

import (
	"encoding/binary"
	"errors"
)

// Priorities is the number of priorities that engines tell apart; 0 is the most
// urgent.
const Priorities = 10

// Backlog is the number of prompt tokens that an engine has yet to read, by
// priority.
type Backlog [Priorities]int

// Ahead returns the tokens that are read before a new request of a priority.
func (b *Backlog) Ahead(priority int) int {
	tokens := 0
	for _, n := range b[:clampPriority(priority)+1] {
		tokens += n
	}
	return tokens
}

// Change adds tokens, or takes away tokens if negative, at a priority.
func (b *Backlog) Change(priority, tokens int) { b[clampPriority(priority)] += tokens }

// Add adds another backlog.
func (b *Backlog) Add(other *Backlog) {
	for i, n := range other {
		b[i] += n
	}
}

func clampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }

// GobEncode implements gob.GobEncoder: pairs of a priority and its tokens, as
// most priorities have none.
func (b Backlog) GobEncode() ([]byte, error) {
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
func (b *Backlog) GobDecode(encoded []byte) error {
	*b = Backlog{}
	for len(encoded) > 0 {
		n, length := binary.Varint(encoded[1:])
		if length <= 0 || encoded[0] >= Priorities {
			return errors.New("backlog cannot be read")
		}
		b[encoded[0]] = int(n)
		encoded = encoded[1+length:]
	}
	return nil
}
