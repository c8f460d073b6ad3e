// Package crowd opens many connections to a process, as callers that don't behave do, and
// watches what the process uses meanwhile.
//
// # Usage
//
//	usage := crowd.Watch(command.Process.Pid, exited)
//	crowd.Connect(address, time.Second, 100, func(i int, c net.Conn) {
//		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+crowd.ShortLines(16<<10))
//		crowd.Stay(c)
//	})
//	peak, err := usage.PeakMB()
//
// It reads the proc file system of Linux.
package crowd

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Connect runs n callers of an address, each on a connection of its own, and closes the
// connections after a time.
func Connect(address netip.AddrPort, length time.Duration, n int, caller func(i int, c net.Conn)) {
	var callers sync.WaitGroup
	until := time.Now().Add(length)
	for i := range n {
		callers.Go(func() {
			c, err := net.DialTimeout("tcp", address.String(), time.Until(until))
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(until)
			caller(i, c)
		})
	}
	callers.Wait()
}

// Stay waits until a connection is closed, and drops what it receives.
func Stay(c net.Conn) {
	buffer := make([]byte, 1)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// ShortLines returns as many header lines as fit into a number of bytes.
func ShortLines(limit int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < limit; i++ {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}
