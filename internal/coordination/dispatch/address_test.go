package dispatch

import "net/netip"

// address gives gate i an address whose port is i.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))
}
