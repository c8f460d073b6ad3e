package trace

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a generated token in bytes, including the space
// after it.
const bytesPerToken = 4

// TextCache generates the texts of prefix levels and caches them. It is safe for
// concurrent use.
type TextCache struct {
	mu    sync.Mutex
	texts map[Level]string
}

// NewTextCache returns an empty cache.
func NewTextCache() *TextCache {
	return &TextCache{texts: make(map[Level]string)}
}

// Text returns the text of a level. Levels with equal names and lengths have equal
// texts.
func (t *TextCache) Text(level Level) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, ok := t.texts[level]
	if !ok {
		text = GenerateText(level)
		t.texts[level] = text
	}
	return text
}

// GenerateText generates the text of a level without caching it.
func GenerateText(level Level) string {
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
