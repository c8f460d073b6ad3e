package comfreyworks

import "context"

// ConfigSection is one top-level field of a deployment file, as JSON.
type ConfigSection struct {
	// Changed is the revision that changed the section last.
	Changed ConfigRevision
	// Text is the section's value; empty means that the field is absent.
	Text []byte
}

// ConfigUpdate carries the sections that changed after some revision.
type ConfigUpdate struct {
	Revision ConfigRevision
	// Digest is the hash of the whole configuration at the revision.
	Digest   string
	Sections map[string]ConfigSection
}

// ConfigPeer is another instance that may know a newer configuration.
type ConfigPeer interface {
	// Pull returns what changed after a revision. An update with the same or
	// an older revision means that the peer knows nothing newer.
	Pull(ctx context.Context, since ConfigRevision) (ConfigUpdate, error)
}
