package fleet

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Gateway is a gateway that runs as a process and can be restarted. It is safe for
// concurrent use.
type Gateway struct {
	Disturbances
	StoreLink *proxy.Proxy
	// StoreFaults records when StoreLink was disturbed.
	StoreFaults Disturbances
	// Stops holds the times from the stop signals to the exits.
	Stops Disturbances

	program, logPath, settingsPath string
	settings                       standin.Settings

	mu sync.Mutex
	// process is nil while the gateway is not running.
	process *process
	// failures describe exits that were not requested or that returned an error
	// after SIGTERM.
	failures []string
	// peakMB is the highest resident memory of its processes, as far as it was noted.
	peakMB float64
}

// process is one process of a gateway, from its start to its exit.
type process struct {
	// logBefore is the size of the gateway's log when the process was started.
	logBefore int64
	command   *exec.Cmd
	// stopRequestedAt is when SIGTERM was sent; zero means that it was not.
	stopRequestedAt time.Time
	killed          bool
	exited          chan struct{}
	group           errgroup.Group
}

// Address returns the address at which callers reach the gateway.
func (g *Gateway) Address() netip.AddrPort { return g.settings.Listen }

// Start starts the process unless it is running.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return nil
	}
	if err := os.WriteFile(g.settingsPath, []byte(g.settings.File()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	info, err := log.Stat()
	if err != nil {
		return err
	}
	command := exec.Command(g.program)
	command.Env = []string{platform.SettingsVariable + "=" + g.settingsPath}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, logBefore: info.Size(), exited: make(chan struct{})}
	g.process = p
	p.group.Go(func() error {
		err := command.Wait()
		g.processExited(p, err)
		return nil
	})
	return nil
}

// processExited records the exit of a process. It is a failure unless the process
// was killed or exited without an error after SIGTERM.
func (g *Gateway) processExited(p *process, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case p.killed:
	case p.stopRequestedAt.IsZero():
		g.failures = append(g.failures, fmt.Sprintf("%s exited unexpectedly: %v", g.settings.Node, err))
	case err != nil:
		g.failures = append(g.failures, fmt.Sprintf("%s failed to stop gracefully: %v", g.settings.Node, err))
	}
	g.process = nil
	close(p.exited)
}

// signal calls beforeSend and sends a signal to the process. It returns the
// process, or nil if none is running.
func (g *Gateway) signal(signal syscall.Signal, beforeSend func(p *process)) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return nil
	}
	beforeSend(g.process)
	g.notePeak()
	_ = g.process.command.Process.Signal(signal)
	return g.process
}

const (
	// programStartTime is the longest time that a program takes until it logs something, on
	// a busy machine.
	programStartTime = 5 * time.Second
	// maxPauseDelay is the longest time from SIGSTOP until a process has stopped.
	maxPauseDelay = 2 * time.Second
	// processPollInterval is the time between two checks of a process.
	processPollInterval = 5 * time.Millisecond
)

// Pause suspends the process with SIGSTOP, which it cannot handle, and waits until it has
// stopped.
func (g *Gateway) Pause() {
	p := g.signal(syscall.SIGSTOP, func(*process) {})
	for deadline := time.Now().Add(maxPauseDelay); p != nil && !p.isStopped() && time.Now().Before(deadline); {
		time.Sleep(processPollInterval)
	}
}

// isStopped reports whether the process is suspended.
func (p *process) isStopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	return err == nil && bytes.Contains(stat, []byte(") T "))
}

// Resume continues a paused process.
func (g *Gateway) Resume() { g.signal(syscall.SIGCONT, func(*process) {}) }

// handlesSignals reports whether a process has logged something. A Go program cannot
// handle signals before main runs; they end it.
func (g *Gateway) handlesSignals(p *process) bool {
	info, err := os.Stat(g.logPath)
	return err == nil && info.Size() > p.logBefore
}

// Hangup sends SIGHUP, at which the process checks its settings file again. A process
// that does not handle signals yet gets none.
func (g *Gateway) Hangup() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil && g.handlesSignals(g.process) {
		_ = g.process.command.Process.Signal(syscall.SIGHUP)
	}
}

// awaitSignalHandling waits until the process handles signals or has exited.
func (g *Gateway) awaitSignalHandling() {
	for deadline := time.Now().Add(programStartTime); time.Now().Before(deadline); time.Sleep(processPollInterval) {
		g.mu.Lock()
		ready := g.process == nil || g.handlesSignals(g.process)
		g.mu.Unlock()
		if ready {
			return
		}
	}
}

// Kill kills the process and waits until it has exited.
func (g *Gateway) Kill() {
	if p := g.signal(syscall.SIGKILL, func(p *process) { p.killed = true }); p != nil {
		<-p.exited
	}
}

// Terminate sends SIGTERM and waits until the process has exited. It kills the
// process after StopGrace, as the platform does.
func (g *Gateway) Terminate() {
	g.awaitSignalHandling()
	defer g.Stops.Disturb()()
	p := g.signal(syscall.SIGTERM, func(p *process) { p.stopRequestedAt = time.Now() })
	if p == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(StopGrace):
		g.Kill()
	}
}

// notePeak notes the highest resident memory of the process. The mutex must be held.
func (g *Gateway) notePeak() {
	if g.process == nil {
		return
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.command.Process.Pid))
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	if fields := bytes.Fields(rest); len(fields) > 0 {
		kb, _ := strconv.Atoi(string(fields[0]))
		g.peakMB = max(g.peakMB, float64(kb)/1024)
	}
}

// Failures describes the exits of the gateway's processes that were not requested
// or returned an error after SIGTERM, and the panics and fatal errors in their
// log.
func (g *Gateway) Failures() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notePeak()
	failures := append([]string(nil), g.failures...)
	if g.peakMB > memoryMB {
		failures = append(failures, fmt.Sprintf("%s used %.0f MB of %d MB", g.settings.Node, g.peakMB, memoryMB))
	}
	log, err := os.ReadFile(g.logPath)
	if err != nil {
		return append(failures, err.Error())
	}
	for line := range bytes.Lines(log) {
		if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) || bytes.Contains(line, []byte("http: panic")) {
			failures = append(failures, fmt.Sprintf("%s: %s", g.settings.Node, bytes.TrimSpace(line)))
		}
	}
	return failures
}
