package comfreyworks

import "context"

// ConfigSection is one top-level field of a deployment file, as JSON.
type ConfigSection struct {
	// Changed is the revision in which the section last changed.
	Changed ConfigRevision
	// Text is the section's value as JSON; empty means that the field is absent.
	Text []byte
}

// ConfigUpdate holds the sections that changed after the requested revision.
type ConfigUpdate struct {
	// Revision is the newest revision that the sender knows.
	Revision ConfigRevision
	// Digest is the hash of the whole configuration at the revision.
	Digest string
	// Sections is keyed by the name of the top-level field.
	Sections map[string]ConfigSection
}

// ConfigPeer is another instance that may have a newer configuration.
type ConfigPeer interface {
	// Pull returns the sections that changed after the revision since. If the
	// revision of the update is not newer than since, the peer has no newer
	// configuration.
	Pull(ctx context.Context, since ConfigRevision) (ConfigUpdate, error)
}
