package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort   = 8782
	readyPort   = 8789
	controlPort = 8783
	metricsPort = 9109
	graceTime   = 8 * time.Second
	memoryMB    = 134
)

// gateway is a gateway process on a machine of its own.
type gateway struct {
	world                         *world
	name, ip, zone, settings, log string
	seeds                         []string
	mu                            sync.Mutex
	command                       *exec.Cmd
	exited                        chan struct{}
	startedAt                     time.Time
	// troubles are the spans in which the machine was not in touch.
	troubles   []span
	inRotation bool
	misses     int
}

type span struct{ from, to time.Time }

func (g *gateway) address(port int) string { return g.ip + ":" + strconv.Itoa(port) }

func (g *gateway) file() string {
	return fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = %q
zone = %q
region = "atl"
internal_ports = [7340, 7355]
seeds = ["%s"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 54
recovery_s = 12
transit_ms = 120
reuse_window_s = 10
require_fence = true
lease_ms = 3000
thaw_ms = 300
version_ms = 6000
version_all_ms = 8400
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
`, g.name, g.ip, g.zone, strings.Join(g.seeds, `", "`), g.address(frontPort), g.address(readyPort), g.address(controlPort), memoryMB, g.world.storeAddress)
}

// start starts the process.
func (g *gateway) start() error {
	if err := os.WriteFile(g.settings, []byte(g.file()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/gateway", "--metrics-port", strconv.Itoa(metricsPort))
	command.Env = []string{"COMFREYWORKS_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	_ = log.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.world.stop:
		_ = command.Process.Kill()
	default:
	}
	g.command, g.exited, g.startedAt = command, make(chan struct{}), time.Now()
	exited := g.exited
	g.world.record.add("gateway %s started, pid %d", g.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		g.world.record.add("gateway %s exited: %v", g.name, err)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		g.world.record.add("gateway %s gets signal %v", g.name, s)
		_ = g.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restart ends the process with SIGTERM, or at once, and starts it again after a pause.
func (g *gateway) restart(gracefully bool, pause time.Duration) error {
	from := time.Now()
	g.mu.Lock()
	// The end of the span is set once the process runs again.
	g.troubles = append(g.troubles, span{from, from.Add(time.Hour)})
	exited := g.exited
	g.mu.Unlock()
	if gracefully {
		g.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(graceTime):
		}
	}
	g.kill()
	time.Sleep(pause)
	err := g.start()
	g.mu.Lock()
	g.troubles[len(g.troubles)-1].to = time.Now().Add(contact)
	g.mu.Unlock()
	return err
}

// inTouch reports whether the machine was in touch at a time.
func (g *gateway) inTouch(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.troubles {
		if at.After(t.from) && at.Before(t.to) {
			return false
		}
	}
	return true
}

// checkReady asks once a second whether the gateway is ready, as the platform does.
func (g *gateway) checkReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + g.address(readyPort) + "/v1/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		g.mu.Lock()
		if ready {
			g.misses, g.inRotation = 0, true
		} else if g.misses++; g.misses >= 2 {
			g.inRotation = false
		}
		g.mu.Unlock()
		select {
		case <-g.world.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (g *gateway) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inRotation
}
