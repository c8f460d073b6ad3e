// Package revision derives the current configuration from the records of the
// configuration stream.
//
// An operator's record names the revision that it is based on and contains the
// sections that it changes. All instances apply the records in the same order:
// the first valid record that is based on the current revision produces the next
// revision, and later records with the same base are rejected. A record whose
// result does not validate or does not have the digest that the record states is
// also rejected, so that a record appended by hand cannot break an instance.
//
// # Usage
//
//	doc, err := revision.Parse("piedmont.jsonc", source)
//	next, err := doc.Apply(record)
//	update := next.Since(doc.Number())
//	merged, err := doc.Merge(update)
//
// A Document is immutable. Errors have the kinds listed at Kind.
package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"comfreyworks"
	"comfreyworks/internal/state/settings"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that a configuration does not validate.
	KindInvalid Kind = "not valid"
	// KindConflict means that a record is not based on the current revision.
	KindConflict Kind = "based on another revision"
	// KindDigestMismatch means that a result does not have the stated digest.
	KindDigestMismatch Kind = "digest differs"
	// KindNotNewer means that a snapshot or an update is not newer than the
	// document.
	KindNotNewer Kind = "not newer"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Record is one record of the configuration stream.
type Record struct {
	// Base is the revision that the record is based on. For a snapshot it is the
	// revision that the record contains.
	Base comfreyworks.ConfigRevision `json:"base"`
	// Sections are the changed sections, or all of them in a snapshot. null
	// removes a section.
	Sections map[string]json.RawMessage `json:"sections"`
	// Digest is the hash of the whole resulting configuration.
	Digest string `json:"digest"`
	// Snapshot means that the record is a snapshot: it contains the whole of
	// revision Base, so that the log may drop the records that produced it.
	Snapshot bool      `json:"carried,omitempty"`
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	At       time.Time `json:"at"`
}

// Document is one revision of the configuration.
type Document struct {
	number     comfreyworks.ConfigRevision
	digest     string
	sections   map[string]comfreyworks.ConfigSection
	deployment *settings.Deployment
}

// FromDeployment returns revision zero: the settings that an instance was
// started with. It is never sent to other instances.
func FromDeployment(deployment *settings.Deployment) *Document {
	return &Document{deployment: deployment}
}

// Empty returns the document of an empty stream. It has no deployment.
func Empty() *Document { return new(Document) }

// Parse parses a deployment file into a document that can be passed to Propose.
func Parse(file string, source []byte) (*Document, error) {
	if _, err := settings.ReadDeployment(file, source); err != nil {
		return nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
	}
	plain, err := hujson.Standardize(bytes.Clone(source))
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(plain, &fields); err != nil {
		return nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
	}
	return build(0, overlay(nil, fields, 0))
}

// Number returns the document's revision.
func (d *Document) Number() comfreyworks.ConfigRevision { return d.number }

// Digest returns the hash of the whole configuration.
func (d *Document) Digest() string { return d.digest }

// Deployment returns the validated settings. Callers must not modify them.
func (d *Document) Deployment() *settings.Deployment { return d.deployment }

// Sections returns the names of the sections that are present.
func (d *Document) Sections() []string {
	return slices.Sorted(maps.Keys(d.presentSections()))
}

// presentSections returns the text of each section that is present.
func (d *Document) presentSections() map[string]json.RawMessage {
	texts := make(map[string]json.RawMessage, len(d.sections))
	for name, section := range d.sections {
		if len(section.Text) > 0 {
			texts[name] = section.Text
		}
	}
	return texts
}

// Source returns the whole configuration as JSON.
func (d *Document) Source() ([]byte, error) {
	return json.MarshalIndent(d.presentSections(), "", "  ")
}

// Difference returns the sections in which another document differs, in the form
// of Record.Sections.
func (d *Document) Difference(other *Document) map[string]json.RawMessage {
	changed := make(map[string]json.RawMessage)
	current, wanted := d.presentSections(), other.presentSections()
	for name, text := range wanted {
		if !bytes.Equal(current[name], text) {
			changed[name] = text
		}
	}
	for name := range current {
		if _, ok := wanted[name]; !ok {
			changed[name] = json.RawMessage("null")
		}
	}
	return changed
}

// Propose returns the record that changes this document into another one.
func (d *Document) Propose(other *Document, author, message string, at time.Time) Record {
	return Record{
		Base: d.number, Sections: d.Difference(other), Digest: other.digest,
		Author: author, Message: message, At: at,
	}
}

// Snapshot returns a record that contains the whole document.
func (d *Document) Snapshot(author string, at time.Time) Record {
	return Record{
		Base: d.number, Sections: d.presentSections(), Digest: d.digest,
		Snapshot: true, Author: author, At: at,
	}
}

// Apply returns the document that results from applying a record to this one.
func (d *Document) Apply(record Record) (*Document, error) {
	if record.Snapshot {
		return d.applySnapshot(record)
	}
	if record.Base != d.number {
		return nil, &Error{Op: "apply", Kind: KindConflict, Err: fmt.Errorf("base %d, current %d", record.Base, d.number)}
	}
	number := d.number + 1
	sections := d.sections
	if d.number == 0 {
		// Revision zero differs between instances: it is the file that each was
		// started with. The first record on the log therefore contains all
		// sections and replaces them.
		sections = nil
	}
	return verifyDigest(build(number, overlay(sections, record.Sections, number)))(record.Digest)
}

// applySnapshot returns the document that a snapshot contains if it is newer
// than this one.
func (d *Document) applySnapshot(record Record) (*Document, error) {
	if record.Base <= d.number {
		return nil, &Error{Op: "apply", Kind: KindNotNewer}
	}
	return verifyDigest(build(record.Base, overlay(nil, record.Sections, record.Base)))(record.Digest)
}

// Since returns an update with the sections that changed after a revision.
func (d *Document) Since(since comfreyworks.ConfigRevision) comfreyworks.ConfigUpdate {
	update := comfreyworks.ConfigUpdate{Revision: d.number, Digest: d.digest}
	if since >= d.number {
		return update
	}
	update.Sections = make(map[string]comfreyworks.ConfigSection)
	for name, section := range d.sections {
		// Revision zero differs between instances: it is the file that each was
		// started with. An instance at revision zero therefore gets all sections.
		if section.Changed > since || since == 0 {
			update.Sections[name] = section
		}
	}
	return update
}

// Merge returns the document that results from applying a peer's update to this
// one.
func (d *Document) Merge(update comfreyworks.ConfigUpdate) (*Document, error) {
	if update.Revision <= d.number {
		return nil, &Error{Op: "merge", Kind: KindNotNewer}
	}
	sections := make(map[string]comfreyworks.ConfigSection)
	if d.number > 0 {
		maps.Copy(sections, d.sections)
	}
	maps.Copy(sections, update.Sections)
	return verifyDigest(build(update.Revision, sections))(update.Digest)
}

// overlay returns sections with the changed fields replaced and marked as
// changed in revision number.
func overlay(sections map[string]comfreyworks.ConfigSection, fields map[string]json.RawMessage, number comfreyworks.ConfigRevision) map[string]comfreyworks.ConfigSection {
	result := make(map[string]comfreyworks.ConfigSection, len(sections)+len(fields))
	maps.Copy(result, sections)
	for name, text := range fields {
		result[name] = comfreyworks.ConfigSection{Changed: number, Text: compact(text)}
	}
	return result
}

// compact returns JSON without white space. It returns nil for null, which means
// that the section is absent, and for malformed JSON.
func compact(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, text); err != nil || buffer.String() == "null" {
		return nil
	}
	return buffer.Bytes()
}

// build validates sections and returns a document that consists of them.
func build(number comfreyworks.ConfigRevision, sections map[string]comfreyworks.ConfigSection) (*Document, error) {
	d := &Document{number: number, sections: sections}
	source, err := d.Source()
	if err != nil {
		return nil, &Error{Op: "build", Kind: KindInvalid, Err: err}
	}
	d.deployment, err = settings.ReadDeployment(fmt.Sprintf("revision %d", number), source)
	if err != nil {
		return nil, &Error{Op: "build", Kind: KindInvalid, Err: err}
	}
	sum := sha256.Sum256(source)
	d.digest = hex.EncodeToString(sum[:])
	return d, nil
}

// verifyDigest takes the results of build and returns a function that checks the
// document against the digest that it should have.
func verifyDigest(d *Document, err error) func(digest string) (*Document, error) {
	return func(digest string) (*Document, error) {
		if err != nil {
			return nil, err
		}
		if d.digest != digest {
			return nil, &Error{Op: "check", Kind: KindDigestMismatch}
		}
		return d, nil
	}
}

// IsKind reports whether err is or wraps an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
