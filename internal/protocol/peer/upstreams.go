package peer

import (
	"slices"

	"comfreyworks"
)

// setAsideUpstreams moves the upstreams of a peer's list that cannot be used to those that
// cannot be decoded. The peer may be of a release that takes them for usable.
func (c *Client) setAsideUpstreams(changes *comfreyworks.UpstreamChanges) {
	if changes == nil {
		return
	}
	changes.Present = slices.DeleteFunc(changes.Present, func(upstream comfreyworks.Upstream) bool {
		err := upstream.Validate()
		if err == nil {
			return false
		}
		c.options.Faults.SetAside("peer-upstreams", string(upstream.ID), nil, err)
		changes.Undecoded = append(changes.Undecoded, upstream.ID)
		return true
	})
}
