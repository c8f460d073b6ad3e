package trace

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a generated token, in bytes.
const bytesPerToken = 4

// Texts generates the text of levels and keeps it.
type Texts struct {
	mu    sync.Mutex
	texts map[Level]string
}

// NewTexts returns an empty set of texts.
func NewTexts() *Texts {
	return &Texts{texts: make(map[Level]string)}
}

// Of returns the text of a level: the same for the same name and length.
func (t *Texts) Of(level Level) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, ok := t.texts[level]
	if !ok {
		text = Generated(level)
		t.texts[level] = text
	}
	return text
}

// Generated returns the text of a level without keeping it.
func Generated(level Level) string {
	seed := xxhash.Sum64String(level.Name)
	random := rand.New(rand.NewPCG(seed, uint64(level.Tokens)))
	text := make([]byte, level.Tokens*bytesPerToken)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
		if i%bytesPerToken == bytesPerToken-1 {
			text[i] = ' '
		}
	}
	return string(text)
}
