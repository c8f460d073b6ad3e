package fleet

import (
	"fmt"
	"strings"
	"time"

	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

const (
	// crashDowntime is the time from the crash of a replica until it serves again.
	crashDowntime = 3 * time.Second
	// underwayTime is how long callers' requests may still reach replicas.
	underwayTime = 4 * time.Second
)

// Harmful describes requests that harm every replica which begins to run them. In its
// texts "*" stands for what all of them have in common, and "+" for what no two of them
// have; without a "+" the same request comes again and again.
type Harmful struct {
	Name string
	// Method and Body are those of the requests, Targets their paths, used in turn.
	Method, Body string
	Targets      []string
	// Prompt lists the parts of the prompts with their lengths in tokens, for engines.
	Prompt string
	// Harm is what happens to a replica that begins to run such a request.
	Harm replica.Fault
	// ID is what the requests have in common.
	ID string
}

// Expand returns one of the texts for the request with an ID.
func (h *Harmful) Expand(text, requestID string) string {
	return strings.NewReplacer("*", h.ID, "+", requestID).Replace(text)
}

// IsWholeRequest reports whether the same request comes again and again.
func (h *Harmful) IsWholeRequest() bool {
	return !strings.Contains(strings.Join(h.Targets, "")+h.Body+h.Prompt, "+")
}

// String returns the name and the ID.
func (h *Harmful) String() string { return fmt.Sprint(h.Name, " ", h.ID) }

// Harmful returns what callers are to send, or nil. Each source of harmful requests sends
// its own.
func (f *Fleet) Harmful(source int) *Harmful {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.harmful[source]
}

// Harm makes callers send requests that harm replicas, for a time. It returns after all
// crashed replicas have been replaced.
func (f *Fleet) Harm(source int, h *Harmful, duration time.Duration) error {
	f.setHarmful(source, h)
	time.Sleep(duration)
	f.setHarmful(source, nil)
	time.Sleep(underwayTime)
	return f.crashed.Wait()
}

func (f *Fleet) setHarmful(source int, h *Harmful) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.harmful[source] = h
	if h != nil {
		f.everHarmful = append(f.everHarmful, h)
	}
}

// harm returns what a request does to the replica that begins to run it.
func (f *Fleet) harm(run *replica.Run) replica.Fault {
	prompt := run.Header.Get(platform.HeaderNames().Prefix)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.everHarmful {
		if strings.Contains(run.Target, h.ID) || strings.Contains(prompt, h.ID) {
			return h.Harm
		}
	}
	return ""
}

// crashAndReplace crashes a replica. A new one of the same release takes its slot after
// crashDowntime, unless another one has taken it meanwhile.
func (f *Fleet) crashAndReplace(r *Replica) {
	crashedAt := time.Now()
	r.mu.Lock()
	crashed := r.crashed
	r.crashed, r.left = true, true
	r.mu.Unlock()
	if crashed {
		return
	}
	f.crashed.Go(func() error {
		f.Crash(r)
		time.Sleep(crashDowntime - time.Since(crashedAt))
		if f.Replica(r.slot) != r {
			return nil
		}
		_, err := f.StartReplica(r.slot, r.Release)
		return err
	})
}
