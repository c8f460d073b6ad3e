// Package revision folds the records of the configuration stream into the
// configuration that is in force.
//
// An operator's record names the revision that it was based on and carries the
// sections that it changes. Everyone folds the records in the same order: the
// first record whose base is the current revision wins and makes the next
// revision, all others with that base lose. A record whose result does not
// validate, or does not have the digest that the record promises, is passed
// over, also when somebody appended it by hand.
//
// # Usage
//
//	doc, err := revision.Parse("piedmont.jsonc", source)
//	next, err := doc.Apply(record)
//	update := next.Since(doc.Number())
//	merged, err := doc.Merge(update)
//
// A Document does not change once it is made. Errors have the kinds listed at
// Kind.
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
	// KindConflict means that a record is based on another revision.
	KindConflict Kind = "based on another revision"
	// KindDigest means that a result differs from what was promised.
	KindDigest Kind = "digest differs"
	// KindOld means that an update is not newer.
	KindOld Kind = "not newer"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Record is one record of the configuration stream.
type Record struct {
	// Base is the revision that the record was based on.
	Base comfreyworks.ConfigRevision `json:"base"`
	// Sections are the changed sections; null takes a field out.
	Sections map[string]json.RawMessage `json:"sections"`
	// Digest is the hash of the whole result.
	Digest string `json:"digest"`
	// Carried means that the record carries the whole of revision Base
	// forward, before the records that made it are dropped.
	Carried bool      `json:"carried,omitempty"`
	Author  string    `json:"author"`
	Message string    `json:"message,omitempty"`
	At      time.Time `json:"at"`
}

// Document is one revision of the configuration.
type Document struct {
	number     comfreyworks.ConfigRevision
	digest     string
	sections   map[string]comfreyworks.ConfigSection
	deployment *settings.Deployment
}

// FromDeployment makes revision zero of the settings that an instance was
// started with. It is never passed on.
func FromDeployment(deployment *settings.Deployment) *Document {
	return &Document{deployment: deployment}
}

// Empty is what an empty stream folds to. It has no deployment.
func Empty() *Document { return new(Document) }

// Parse reads a deployment file as a document that can be proposed.
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

// Number returns the revision.
func (d *Document) Number() comfreyworks.ConfigRevision { return d.number }

// Digest returns the hash of the whole.
func (d *Document) Digest() string { return d.digest }

// Deployment returns the checked settings; they must not be changed.
func (d *Document) Deployment() *settings.Deployment { return d.deployment }

// Sections returns the names of the sections that are present.
func (d *Document) Sections() []string {
	return slices.Sorted(maps.Keys(d.texts()))
}

// texts returns the sections that are present.
func (d *Document) texts() map[string]json.RawMessage {
	texts := make(map[string]json.RawMessage, len(d.sections))
	for name, section := range d.sections {
		if len(section.Text) > 0 {
			texts[name] = section.Text
		}
	}
	return texts
}

// Source returns the whole as JSON.
func (d *Document) Source() ([]byte, error) {
	return json.MarshalIndent(d.texts(), "", "  ")
}

// Difference returns the sections by which another document differs, as a
// record that is based on this one would carry them.
func (d *Document) Difference(other *Document) map[string]json.RawMessage {
	changed := make(map[string]json.RawMessage)
	mine, theirs := d.texts(), other.texts()
	for name, text := range theirs {
		if !bytes.Equal(mine[name], text) {
			changed[name] = text
		}
	}
	for name := range mine {
		if _, ok := theirs[name]; !ok {
			changed[name] = json.RawMessage("null")
		}
	}
	return changed
}

// Propose returns the record that turns this document into another one.
func (d *Document) Propose(other *Document, author, message string, at time.Time) Record {
	return Record{
		Base: d.number, Sections: d.Difference(other), Digest: other.digest,
		Author: author, Message: message, At: at,
	}
}

// Carry returns the record that carries this document forward.
func (d *Document) Carry(author string, at time.Time) Record {
	return Record{
		Base: d.number, Sections: d.texts(), Digest: d.digest,
		Carried: true, Author: author, At: at,
	}
}

// Apply returns the document that a record makes of this one.
func (d *Document) Apply(record Record) (*Document, error) {
	if record.Carried {
		return d.adopt(record)
	}
	if record.Base != d.number {
		return nil, &Error{Op: "apply", Kind: KindConflict, Err: fmt.Errorf("base %d, current %d", record.Base, d.number)}
	}
	number := d.number + 1
	sections := d.sections
	if d.number == 0 {
		// Revision zero is whatever file an instance was started with, so the
		// first record on the log carries everything.
		sections = nil
	}
	return checked(build(number, overlay(sections, record.Sections, number)))(record.Digest)
}

// adopt takes a carried document if it is newer.
func (d *Document) adopt(record Record) (*Document, error) {
	if record.Base <= d.number {
		return nil, &Error{Op: "apply", Kind: KindOld}
	}
	return checked(build(record.Base, overlay(nil, record.Sections, record.Base)))(record.Digest)
}

// Since returns the sections that changed after a revision.
func (d *Document) Since(since comfreyworks.ConfigRevision) comfreyworks.ConfigUpdate {
	update := comfreyworks.ConfigUpdate{Revision: d.number, Digest: d.digest}
	if since >= d.number {
		return update
	}
	update.Sections = make(map[string]comfreyworks.ConfigSection)
	for name, section := range d.sections {
		// Revision zero differs from instance to instance: it is whatever file
		// one was started with. Who has only that gets everything.
		if section.Changed > since || since == 0 {
			update.Sections[name] = section
		}
	}
	return update
}

// Merge returns the document that a peer's update makes of this one.
func (d *Document) Merge(update comfreyworks.ConfigUpdate) (*Document, error) {
	if update.Revision <= d.number {
		return nil, &Error{Op: "merge", Kind: KindOld}
	}
	sections := make(map[string]comfreyworks.ConfigSection)
	if d.number > 0 {
		maps.Copy(sections, d.sections)
	}
	maps.Copy(sections, update.Sections)
	return checked(build(update.Revision, sections))(update.Digest)
}

// overlay puts changed fields over sections.
func overlay(sections map[string]comfreyworks.ConfigSection, fields map[string]json.RawMessage, number comfreyworks.ConfigRevision) map[string]comfreyworks.ConfigSection {
	result := make(map[string]comfreyworks.ConfigSection, len(sections)+len(fields))
	maps.Copy(result, sections)
	for name, text := range fields {
		result[name] = comfreyworks.ConfigSection{Changed: number, Text: compact(text)}
	}
	return result
}

// compact returns JSON without white space; null is the absence of a field.
func compact(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, text); err != nil || buffer.String() == "null" {
		return nil
	}
	return buffer.Bytes()
}

// build checks sections and makes a document of them.
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

// checked holds a document against the digest that it should have.
func checked(d *Document, err error) func(digest string) (*Document, error) {
	return func(digest string) (*Document, error) {
		if err != nil {
			return nil, err
		}
		if d.digest != digest {
			return nil, &Error{Op: "check", Kind: KindDigest}
		}
		return d, nil
	}
}

// IsKind reports whether err is an error of this package of a kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
