package comfreyworks

import "context"

// CacheOffloader copies cached prefixes between an engine and a cache store. A
// key identifies one prefix level of a prompt. It covers workspace, model,
// weights and adapter, so that a prefix of another workspace or of older weights
// is never found.
type CacheOffloader interface {
	// Export makes the engine copy the KV cache of the first tokens of a
	// request's prompt into the store.
	Export(ctx context.Context, key uint64, request RequestID, tokens int) error
	// Import makes the engine load a prefix from the store. It returns the
	// length of the prefix in tokens, or zero if the store does not have it.
	Import(ctx context.Context, key uint64) (int, error)
}
