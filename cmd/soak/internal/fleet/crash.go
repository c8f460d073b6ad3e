package fleet

import "time"

const (
	// crashDowntime is the time from the crash of an engine until it serves again.
	crashDowntime = 3 * time.Second
	// underwayTime is how long callers' requests may still reach engines.
	underwayTime = 4 * time.Second
)

// CrashPart returns the part that callers' prompts are to hold so that they crash
// engines; empty means none.
func (f *Fleet) CrashPart() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashPart
}

// CrashEngines makes callers send prompts with a part that crashes every engine, for a
// time. It returns after all crashed engines have been replaced.
func (f *Fleet) CrashEngines(part string, duration time.Duration) error {
	f.setCrashPart(part)
	for _, r := range f.Replicas() {
		f.setCrash(r)
	}
	time.Sleep(duration)
	f.setCrashPart("")
	time.Sleep(underwayTime)
	return f.crashed.Wait()
}

func (f *Fleet) setCrashPart(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashPart = part
}

// setCrash sets with what part prompts crash a replica, if it is an engine.
func (f *Fleet) setCrash(r *Replica) {
	if part := f.CrashPart(); part != "" && r.Engine != nil {
		r.CrashOn(part, func() { f.crashAndReplace(r) })
	}
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
