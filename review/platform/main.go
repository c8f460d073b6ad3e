// Program standin runs the stand-ins of one review case: the platform's store, replicas and
// requesters, around gateways that run as processes of their own.
//
// # Usage
//
//	standin CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(w *world){"restored-keys": restoredKeys, "isolated": isolated, "joined": joined}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	time.AfterFunc(110*time.Second, func() { w.fail("took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		w.fail("told to stop")
	}()
	cases[os.Args[1]](w)
}

// startDeployment starts four gateways, three model replicas and three plain ones.
func (w *world) startDeployment(declared map[string]any) {
	w.store.put("keyed.op", "config", declared, false)
	w.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": 1}, false)
	for i, zone := range []string{"atl-a", "atl-b", "atl-c"} {
		w.startReplica(fmt.Sprint("i-lm-", i), "lm-pool", zone, "v1", model)
		w.startReplica(fmt.Sprint("i-app-", i), "dispatch", zone, "v1", "")
	}
	go w.heartbeats()
	w.startGateways("atl-a", "atl-a", "atl-b", "atl-c")
	w.awaitReady(15 * time.Second)
	w.log("all gateways are ready")
}

// restoredKeys: a key is taken away, and the store goes away right after the ack. It comes
// back from a copy from before, and the operator writes the manifest again.
func restoredKeys(w *world) {
	const (
		away    = 4400 * time.Millisecond
		rewrite = 1900 * time.Millisecond
		bound   = 5000 * time.Millisecond
	)
	kept, revoked := "key-kept", "key-revoked"
	before := manifest(2, tenant{"office", false, []string{kept, revoked}})
	after := manifest(4, tenant{"office", false, []string{kept}})
	w.startDeployment(before)
	for _, g := range w.gateways {
		for _, key := range []string{kept, revoked} {
			c := client()
			w.work(50*time.Millisecond, func() { w.send(c, g, "GET", host, "/look/1", key, nil, "") })
		}
	}
	time.Sleep(6 * time.Second)
	saved := w.store.copy()
	time.Sleep(2 * time.Second)
	acked, _ := w.store.put("keyed.op", "config", after, w.trouble)
	w.log("the manifest without %s is acknowledged", revoked)
	if w.trouble {
		w.log("the store is away")
		time.Sleep(away)
		w.store.restore(saved)
		w.log("the store is back from a copy that is %s older than the ack", 2*time.Second)
		time.Sleep(rewrite)
		w.store.put("keyed.op", "config", after, false)
		w.log("the operator has written the manifest again")
	}
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	w.finish()
	sent := make(map[string]request)
	for _, q := range w.requests {
		sent[q.id] = q
	}
	broken, served := 0, 0
	for _, r := range w.runs {
		q := sent[r.id]
		if q.key == kept {
			served++
		}
		if late := q.sent.Sub(acked); q.key == revoked && late > bound {
			broken++
			w.log("request %s with the revoked key, sent %s after the ack to %s, ran at %s", r.id, late.Round(time.Millisecond), q.gateway, r.replica)
		}
	}
	w.log("%d requests with the kept key ran, %d requests with the revoked key that were sent over %s after the ack ran", served, broken, bound)
	w.verdict(broken > 0, served > 100)
}

// verdict ends the script. sound tells that there was traffic to judge.
func (w *world) verdict(broken, sound bool) {
	switch {
	case broken:
		w.end(1)
	case !sound:
		w.fail("too little traffic")
	default:
		w.end(0)
	}
}

// isolated: a manifest isolates a tenant that has shared parts of prompts so far.
func isolated(w *world) {
	office, lab := tenant{"office", false, []string{"key-office"}}, tenant{"lab", false, []string{"key-lab"}}
	w.startDeployment(manifest(2, office, lab))
	time.Sleep(4 * time.Second)
	prompt := func(own string) map[string]string {
		return map[string]string{
			prefix + "Model": model, prefix + "Token-Usage": "1000,5",
			prefix + "Prompt-Prefix": "5c1e07a2:600,91bd3f06:300," + own + ":100",
		}
	}
	send := func(n int, key string) {
		for i := range n {
			for _, g := range w.gateways {
				w.send(client(), g, "POST", host, "/note/1", key, prompt(fmt.Sprintf("%s%02x%02x", map[string]string{"key-lab": "a1", "key-office": "b2"}[key], i, len(w.requests)%256)), "text")
			}
		}
	}
	send(5, "key-lab")
	if w.trouble {
		lab.isolated = true
	}
	acked, _ := w.store.put("keyed.op", "config", manifest(4, office, lab), false)
	w.log("manifest 4 is acknowledged, lab is isolated: %v", lab.isolated)
	time.Sleep(3 * time.Second)
	send(5, "key-office")
	w.finish()
	broken := 0
	for _, r := range w.runs {
		if r.tenant != "office" || r.at.Before(acked.Add(2*time.Second)) {
			continue
		}
		for _, part := range r.parts {
			if lab.isolated && len(part) > 4 && part[len(part)-3:] == "lab" {
				broken++
				w.log("request %s of office uses part %s", r.id, part)
			}
		}
	}
	w.log("%d parts of an isolated tenant used", broken)
	w.verdict(broken > 0, len(w.runs) >= 30)
}
