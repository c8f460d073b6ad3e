package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Gateway is a gateway that runs as a process.
type Gateway struct {
	Name string

	rig                   *Rig
	settings              standin.Settings
	settingsPath, logPath string
	metrics               netip.AddrPort

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ended tells how processes ended that were not killed by the case.
	ended  []string
	killed bool
}

// Address returns the address for requests, Ready the one for status checks.
func (g *Gateway) Address() netip.AddrPort { return g.settings.Listen }

// Ready returns the address for status checks.
func (g *Gateway) Ready() netip.AddrPort { return g.settings.Ready }

// LogPath returns the path of the log of all of its processes.
func (g *Gateway) LogPath() string { return g.logPath }

// Start starts the process with the command of the deploy file. The port for metrics is free.
func (g *Gateway) Start() error {
	if err := os.WriteFile(g.settingsPath, []byte(g.settings.File()), fileMode); err != nil {
		return err
	}
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(g.rig.options.Program, "--metrics-port", strconv.Itoa(int(g.metrics.Port())))
	command.Env = []string{platform.SettingsVariable + "=" + g.settingsPath}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.command, g.exited, g.killed = command, exited, false
	g.mu.Unlock()
	g.rig.group.Go(func() {
		err := command.Wait()
		g.mu.Lock()
		if !g.killed {
			g.ended = append(g.ended, fmt.Sprint(err))
		}
		g.mu.Unlock()
		close(exited)
	})
	return nil
}

// Ended tells how processes ended that were not killed.
func (g *Gateway) Ended() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.ended...)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

// Kill kills the process and waits until it has ended.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.killed = true
	command, exited := g.command, g.exited
	g.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

// IsReady reports whether the gateway counts as ready.
func (g *Gateway) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.settings.Ready.String()+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the gateway is ready.
func (g *Gateway) AwaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.IsReady() {
			return true
		}
	}
	return false
}

// MemoryMB returns the resident memory of the process now and at its peak.
func (g *Gateway) MemoryMB() (now, peak float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	return megabytes(status, "VmRSS:"), megabytes(status, "VmHWM:")
}

func megabytes(status []byte, field string) float64 {
	_, rest, _ := bytes.Cut(status, []byte(field))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0]))
	return float64(kb) / 1024
}
