package fleet

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Gateway is a gateway's process, which may be gone. It is safe for concurrent
// use.
type Gateway struct {
	StoreLink *proxy.Proxy

	program, log, file string
	settings           standin.Settings

	mu      sync.Mutex
	process *process
	// faults are ends of the process that nobody asked for.
	faults []string
}

// process is one life of a gateway.
type process struct {
	command *exec.Cmd
	// ending is when the process was told to end; zero means that it was not.
	ending time.Time
	killed bool
	ended  chan struct{}
	group  errgroup.Group
}

// Address is where callers reach the gateway.
func (g *Gateway) Address() netip.AddrPort { return g.settings.Front }

// Start starts the process unless it runs.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return nil
	}
	if err := os.WriteFile(g.file, []byte(g.settings.File()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(g.program)
	command.Env = []string{platform.SettingsVariable + "=" + g.file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, ended: make(chan struct{})}
	g.process = p
	p.group.Go(func() error {
		err := command.Wait()
		g.ended(p, err)
		return nil
	})
	return nil
}

// ended takes in the end of a process.
func (g *Gateway) ended(p *process, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case p.killed:
	case p.ending.IsZero():
		g.faults = append(g.faults, fmt.Sprintf("%s ended by itself: %v", g.settings.Node, err))
	case err != nil:
		g.faults = append(g.faults, fmt.Sprintf("%s did not stop as told: %v", g.settings.Node, err))
	}
	g.process = nil
	close(p.ended)
}

// signal sends a signal to the process, if there is one.
func (g *Gateway) signal(signal syscall.Signal, note func(p *process)) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return nil
	}
	note(g.process)
	_ = g.process.command.Process.Signal(signal)
	return g.process
}

// Pause stops the process without its knowing.
func (g *Gateway) Pause() { g.signal(syscall.SIGSTOP, func(*process) {}) }

// Resume lets a paused process go on.
func (g *Gateway) Resume() { g.signal(syscall.SIGCONT, func(*process) {}) }

// Hangup tells the process that its settings have changed.
func (g *Gateway) Hangup() { g.signal(syscall.SIGHUP, func(*process) {}) }

// Kill ends the process at once.
func (g *Gateway) Kill() {
	if p := g.signal(syscall.SIGKILL, func(p *process) { p.killed = true }); p != nil {
		<-p.ended
	}
}

// Terminate tells the process to stop and waits until it has, or kills it at the
// end of its grace as the platform does.
func (g *Gateway) Terminate() {
	p := g.signal(syscall.SIGTERM, func(p *process) { p.ending = time.Now() })
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(Grace):
		g.Kill()
	}
}

// Faults returns what the process did wrong by itself, from its ends and its log.
func (g *Gateway) Faults() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	faults := append([]string(nil), g.faults...)
	log, err := os.ReadFile(g.log)
	if err != nil {
		return append(faults, err.Error())
	}
	for line := range bytes.Lines(log) {
		if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) || bytes.Contains(line, []byte("http: panic")) {
			faults = append(faults, fmt.Sprintf("%s: %s", g.settings.Node, bytes.TrimSpace(line)))
		}
	}
	return faults
}
