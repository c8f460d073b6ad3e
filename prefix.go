package comfreyworks

// MaxLevels bounds the length of a Chain.
const MaxLevels = 16

// Level is one prefix of a prompt that may be shared with other prompts.
type Level struct {
	// Hash identifies the workspace, model, weights, adapter and every byte
	// of the prompt up to the end of the level.
	Hash uint64
	// Tokens is the length of the prefix in estimated tokens.
	Tokens int
}

// Chain lists the levels of a prompt from the shallowest to the whole prompt.
// It has between one and MaxLevels entries and Tokens never decreases.
type Chain []Level

// Tokens returns the length of the whole prompt in estimated tokens.
func (c Chain) Tokens() int {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Tokens
}
