package comfreyworks

import "context"

// CacheOffloader moves cached prefixes between an engine and the store of kept KV
// cache. A key stands for one level of a prompt; it covers workspace, model,
// weights and adapter, so that a prefix of another workspace or of older
// weights is never found.
type CacheOffloader interface {
	// Export asks the engine to put the first tokens of a request's prompt
	// into the store.
	Export(ctx context.Context, key uint64, request RequestID, tokens int) error
	// Import asks the engine to take a prefix from the store. It returns the
	// prefix's length in tokens, or zero when the store does not have it.
	Import(ctx context.Context, key uint64) (int, error)
}
