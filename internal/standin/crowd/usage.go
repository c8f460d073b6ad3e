package crowd

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// watchInterval is the pause between two looks at the descriptors of a process, and
	// memoryLooks the number of these for each look at its memory.
	watchInterval = 10 * time.Millisecond
	memoryLooks   = 10
	megabyte      = 1 << 20
)

// errNoPeak means that a process has ended, or that its peak is not known.
var errNoPeak = errors.New("no peak of the resident memory")

// Usage is what a process uses. It is safe for concurrent use.
type Usage struct {
	pid         int
	group       errgroup.Group
	descriptors atomic.Int64
	// used is the highest sum, in bytes, of resident memory and of what was received and not
	// read.
	used atomic.Int64
}

// Watch watches a process until it has exited.
func Watch(pid int, exited <-chan struct{}) *Usage {
	u := &Usage{pid: pid}
	u.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-exited:
				return nil
			case <-time.After(watchInterval):
				u.look(n%memoryLooks == 0)
			}
		}
	})
	return u
}

// Wait waits until the process has exited.
func (u *Usage) Wait() { _ = u.group.Wait() }

// Descriptors returns the highest number of open descriptors that was seen.
func (u *Usage) Descriptors() int { return int(u.descriptors.Load()) }

// UsedMB returns the highest sum that was seen of resident memory and of bytes that the kernel
// has received for the process and that it has not read, in MB.
func (u *Usage) UsedMB() float64 { return float64(u.used.Load()) / megabyte }

// PeakMB returns the highest resident memory of the process, in MB.
func (u *Usage) PeakMB() (float64, error) {
	status, err := os.ReadFile(u.file("status"))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, errNoPeak
	}
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	return float64(kb) / 1024, err
}

func (u *Usage) file(name string) string { return fmt.Sprintf("/proc/%d/%s", u.pid, name) }

func (u *Usage) look(memory bool) {
	open, _ := os.ReadDir(u.file("fd"))
	u.descriptors.Store(max(u.descriptors.Load(), int64(len(open))))
	if memory {
		u.used.Store(max(u.used.Load(), u.residentBytes()+u.unreadBytes(open)))
	}
}

// residentBytes returns the resident memory of the process now.
func (u *Usage) residentBytes() int64 {
	statm, _ := os.ReadFile(u.file("statm"))
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns how many bytes the kernel has received on the connections of the process
// that it has not read, given its descriptors.
func (u *Usage) unreadBytes(open []os.DirEntry) (unread int64) {
	sockets := make(map[string]bool)
	for _, fd := range open {
		link, _ := os.Readlink(u.file("fd/" + fd.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, _ := os.ReadFile(u.file("net/tcp"))
	for line := range strings.Lines(string(table)) {
		// The fields are those of proc(5): the fifth one is tx_queue:rx_queue, the tenth the inode.
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 10 || fields[3] != established || !sockets[fields[9]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		unread += n
	}
	return unread
}
