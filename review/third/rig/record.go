package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitNoVerdict = 2
)

// Record is the record of a run.
type Record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}

// Troubled reports whether the disruption of the case is wanted: TROUBLE=0 leaves it out.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// NoteAt is Note with another time than now.
func (r *Record) NoteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%8.3f "+format+"\n", append([]any{at.Sub(r.began).Seconds()}, args...)...)
}
