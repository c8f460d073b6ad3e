package comfreyworks

// MaxPrefixLevels is the maximum length of a PrefixChain.
const MaxPrefixLevels = 16

// PrefixLevel is one prefix of a prompt that may be shared with other prompts.
type PrefixLevel struct {
	// Hash identifies the workspace, model, weights, adapter and every byte
	// of the prompt up to the end of the level.
	Hash uint64
	// Tokens is the length of the prefix in estimated tokens.
	Tokens int
}

// PrefixChain lists the prefix levels of a prompt from the shallowest to the
// whole prompt. It has between one and MaxPrefixLevels entries, and their Tokens
// never decrease.
type PrefixChain []PrefixLevel

// Tokens returns the length of the whole prompt in estimated tokens, zero if the
// chain is empty.
func (c PrefixChain) Tokens() int {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Tokens
}

// MaxPromptTokens is the maximum number of tokens of a prompt, or of one of its parts,
// that is believed. Sums over many requests stay far below the range of an int.
const MaxPromptTokens = 1 << 30
