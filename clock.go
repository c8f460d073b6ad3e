package comfreyworks

import "github.com/jonboulle/clockwork"

// Clock is the source of time for everything that waits or measures. Programs
// pass the real clock; tests pass a fake one.
type Clock = clockwork.Clock
