package dispatch

import "net/netip"

// address returns an address whose port is i, by which fakeSidecars finds its
// sidecar i.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))
}
