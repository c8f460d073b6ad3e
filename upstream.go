package comfreyworks

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of what describes a usable upstream.
const (
	// MaxUpstreamSlots is the highest number of slots.
	MaxUpstreamSlots = 1 << 20
	// MaxNameBytes is the maximum length of an ID, a release or the name of a pool, an
	// availability zone or a model.
	MaxNameBytes = 250
	// MaxUpstreamModels is the maximum number of models of one upstream.
	MaxUpstreamModels = 1024
	// MaxRevision is the highest revision and sequence number. Programs that hold numbers
	// as floating point cannot count on from there.
	MaxRevision = 1<<53 - 1
	// maxStartedUnix is the end of the range of start times, in Unix seconds. It lies in
	// the year 2242.
	maxStartedUnix = 1 << 33
)

// UpstreamField names a field of Upstream.
type UpstreamField string

// Fields of Upstream that may be invalid.
const (
	FieldID       UpstreamField = "id"
	FieldPool     UpstreamField = "pool"
	FieldZone     UpstreamField = "zone"
	FieldAddress  UpstreamField = "address"
	FieldState    UpstreamField = "state"
	FieldSlots    UpstreamField = "slots"
	FieldStarted  UpstreamField = "started"
	FieldSequence UpstreamField = "sequence"
	FieldRelease  UpstreamField = "release"
	FieldWeights  UpstreamField = "weights"
)

// InvalidUpstreamError tells, as its kind, which field makes an upstream unusable.
type InvalidUpstreamError = OpError[UpstreamField]

// Validate returns an InvalidUpstreamError for an upstream that cannot be used. Whoever
// decodes upstreams calls it: what else a gateway does with them relies on it. Slots,
// Started, Zone, Release and Weights may be missing.
func (u *Upstream) Validate() error {
	for _, check := range []struct {
		field UpstreamField
		err   error
	}{
		{FieldID, checkName(string(u.ID), true)},
		{FieldPool, checkName(string(u.Pool), true)},
		{FieldZone, checkName(string(u.Zone), false)},
		{FieldAddress, ValidateAddress(u.Address)},
		{FieldState, checkState(u.State)},
		{FieldSlots, checkRange(int64(u.Slots), MaxUpstreamSlots)},
		{FieldStarted, checkStarted(u.Started)},
		{FieldSequence, ValidateRevision(u.Sequence)},
		{FieldRelease, checkName(u.Release, false)},
		{FieldWeights, checkWeights(u.Weights)},
	} {
		if check.err != nil {
			return &InvalidUpstreamError{Op: "validate upstream", Kind: check.field, Err: check.err}
		}
	}
	return nil
}

// ValidateAddress returns an error if no other machine can be reached at an address.
func ValidateAddress(address netip.AddrPort) error {
	ip := address.Addr().Unmap()
	switch {
	case !address.IsValid():
		return errors.New("no address")
	case address.Port() == 0:
		return errors.New("no port")
	case ip.Zone() != "", ip.Is6() && ip.IsLinkLocalUnicast():
		return errors.New("valid on one link only")
	case ip.IsUnspecified(), ip.IsMulticast(), ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return fmt.Errorf("%s is not the address of a machine", ip)
	default:
		return nil
	}
}

// checkName checks a name. Names are sent in headers and compared byte by byte, so they
// must not have changed on the way; U+FFFD takes the place of bytes that are no text.
func checkName(name string, required bool) error {
	switch {
	case name == "" && required:
		return errors.New("missing")
	case len(name) > MaxNameBytes:
		return fmt.Errorf("%d bytes, more than %d", len(name), MaxNameBytes)
	}
	for _, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return fmt.Errorf("%q contains what is no text", name)
		}
	}
	return nil
}

func checkState(state InstanceState) error {
	if state != InstanceLive && state != InstanceLeaving {
		return fmt.Errorf("unknown state %q", state)
	}
	return nil
}

func checkRange(n, limit int64) error {
	if n < 0 || n > limit {
		return fmt.Errorf("%d is not between 0 and %d", n, limit)
	}
	return nil
}

// ValidateRevision returns an error for a revision or sequence number that no later one
// may follow.
func ValidateRevision(n uint64) error {
	if n > MaxRevision {
		return fmt.Errorf("%d is too high", n)
	}
	return nil
}

func checkStarted(started time.Time) error {
	if started.IsZero() {
		return nil
	}
	return checkRange(started.Unix(), maxStartedUnix)
}

func checkWeights(weights map[Model]WeightsRevision) error {
	if len(weights) > MaxUpstreamModels {
		return fmt.Errorf("%d models, more than %d", len(weights), MaxUpstreamModels)
	}
	for model, revision := range weights {
		if err := errors.Join(checkName(string(model), true), ValidateRevision(uint64(revision))); err != nil {
			return err
		}
	}
	return nil
}
