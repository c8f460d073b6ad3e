package comfreyworks

import "context"

// StreamOrigins knows which release of an upstream's software began each stream, also
// those that other gateways serve. Releases are values of streamorigins.Release.
type StreamOrigins interface {
	// Add records that an attempt to begin a stream is sent to a release.
	Add(stream RequestID, release uint32)
	// StreamOrigin returns the release that began a stream, or false if it is unknown.
	StreamOrigin(ctx context.Context, stream RequestID) (release uint32, ok bool)
}
