package crowd

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// firstPort is the port before that of the first address.
const firstPort = 20_000

// given is the number of addresses that FreeAddress has returned.
var given atomic.Uint32

// FreeAddress returns an address at which a process under test may listen. A port that was free
// on 127.0.0.1 may be the source port of another process's connection by then; no connection has
// its source at the loopback address that belongs to this process.
func FreeAddress() netip.AddrPort {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(128 | pid>>16), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(host, uint16(firstPort+given.Add(1)))
}
