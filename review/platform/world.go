package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the store, the replicas and the gateways of one script.
type world struct {
	trouble  bool
	root     string
	dir      string
	store    *store
	gateways []*gateway
	started  time.Time
	storeAt  string
	server   *http.Server

	mu       sync.Mutex
	record   *os.File
	replicas []*replica
	runs     []run
	requests []request
	nextID   int
	stopping chan struct{}
	workers  sync.WaitGroup
}

// request is a request of a requester with its answer.
type request struct {
	id, gateway, key, path string
	sent, ended            time.Time
	status                 int
	body                   string
	err                    error
}

// gateway is one process of the project's program.
type gateway struct {
	name, zone, ip string
	command        *exec.Cmd
	exited         chan struct{}
}

const (
	frontPort   = 8782
	controlPort = 8783
	readyPort   = 8789
)

func newWorld(folder string) *world {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		panic(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		panic(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, store: newStore(), started: time.Now(), record: record,
		stopping: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	w.storeAt = listener.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	w.log("trouble: %v", w.trouble)
	return w
}

// at returns a time in seconds since the start.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(w.started).Seconds()) }

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%s %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.record, line)
	fmt.Print(line)
}

// fail ends the script because the case could not run.
func (w *world) fail(format string, args ...any) {
	w.log("could not run: "+format, args...)
	w.end(2)
}

// end ends all processes and the script.
func (w *world) end(code int) {
	for _, g := range w.gateways {
		g.kill()
	}
	w.log("exit code %d", code)
	_ = os.RemoveAll(w.dir)
	os.Exit(code)
}

func (w *world) addRun(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// startGateways starts one gateway for each zone in the list, on loopback addresses.
func (w *world) startGateways(zones ...string) {
	a, b := 1+rand.IntN(250), 1+rand.IntN(250)
	count := make(map[string]int)
	for i, zone := range zones {
		count[zone]++
		w.gateways = append(w.gateways, &gateway{
			name: fmt.Sprintf("edge-%s-%d", zone, count[zone]), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", a, b, 10+i),
		})
	}
	for _, g := range w.gateways {
		w.start(g)
	}
}

func (w *world) settings(g *gateway) string {
	var seeds []string
	for _, other := range w.gateways[:min(3, len(w.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprint(other.ip, ":", controlPort)))
	}
	return fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "atl"
internal_ports = [7340,7355]
seeds = [%s]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
atl-a = "atl"
atl-b = "atl"
atl-c = "atl"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 134
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
parts = 16
append_ms = 3.0
keep_s = 20
`, g.name, g.ip, g.zone, strings.Join(seeds, ","), g.ip, frontPort, g.ip, readyPort, g.ip, controlPort, w.storeAt)
}

func (w *world) start(g *gateway) {
	path := filepath.Join(w.dir, g.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(g)), 0o600); err != nil {
		w.fail("%v", err)
	}
	output, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("%v", err)
	}
	defer func() { _ = output.Close() }()
	g.command = exec.Command("target/gateway", "--metrics-port", "9109")
	g.command.Dir = w.root
	g.command.Env = append(os.Environ(), "COMFREYWORKS_SETTINGS="+path)
	g.command.Stdout, g.command.Stderr = output, output
	if err := g.command.Start(); err != nil {
		w.fail("start: %v", err)
	}
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		_ = g.command.Wait()
		close(exited)
	}()
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.exited
}

func (g *gateway) front() string { return fmt.Sprint(g.ip, ":", frontPort) }

// isReady asks a gateway as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range w.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(w.gateways) {
			return
		}
		if time.Now().After(deadline) {
			for _, g := range w.gateways {
				data, _ := os.ReadFile(filepath.Join(w.dir, g.name+".log"))
				fmt.Fprintln(os.Stderr, string(data[:min(len(data), 2000)]))
			}
			w.fail("gateways are not ready")
		}
	}
}

// heartbeats writes the entries of all replicas every 1.2 s.
func (w *world) heartbeats() {
	for {
		select {
		case <-w.stopping:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		w.mu.Lock()
		replicas := append([]*replica(nil), w.replicas...)
		w.mu.Unlock()
		for _, r := range replicas {
			r.list()
		}
	}
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("q%06d", w.nextID)
}

// send sends one request and records it.
func (w *world) send(client *http.Client, g *gateway, method, host, path, key string, header map[string]string, body string) request {
	q := request{id: w.newID(), gateway: g.name, key: key, path: path}
	r, err := http.NewRequest(method, "http://"+g.front()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		w.fail("%v", err)
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set(prefix+"Request-Id", q.id)
	r.Header.Set(prefix+"Credential", key)
	r.Header.Set(prefix+"Deadline-Ms", "4000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	q.sent = time.Now()
	response, err := client.Do(r)
	if err == nil {
		q.status = response.StatusCode
		var data []byte
		data, err = io.ReadAll(response.Body)
		q.body = string(data)
		_ = response.Body.Close()
	}
	q.err, q.ended = err, time.Now()
	w.mu.Lock()
	w.requests = append(w.requests, q)
	w.mu.Unlock()
	return q
}

// client returns a requester's client, with one channel.
func client() *http.Client {
	return &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1, DisableCompression: true,
	}}
}

// work repeats f with a pause until the requesters stop.
func (w *world) work(pause time.Duration, f func()) {
	w.workers.Add(1)
	go func() {
		defer w.workers.Done()
		for {
			f()
			select {
			case <-w.stopping:
				return
			case <-time.After(pause):
			}
		}
	}()
}

// finish stops the requesters and writes all requests and runs into the record.
func (w *world) finish() {
	close(w.stopping)
	w.workers.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.requests {
		_, _ = fmt.Fprintf(w.record, "%s request %s %s key %s to %s: status %d, ended %s, error %v\n", w.at(q.sent), q.id, q.path, q.key, q.gateway, q.status, w.at(q.ended), q.err)
	}
	for _, r := range w.runs {
		_, _ = fmt.Fprintf(w.record, "%s run %s at %s, tenant %s, salt %q, cached parts used %q\n", w.at(r.at), r.id, r.replica, r.tenant, r.salt, r.parts)
	}
}
