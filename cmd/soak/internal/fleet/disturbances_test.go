package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpanOverlaps(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(1700000000+s, 0) }
	for name, test := range map[string]struct {
		span Span
		want bool
	}{
		"before":       {Span{From: at(0), To: at(1)}, false},
		"until within": {Span{From: at(0), To: at(3)}, true},
		"around":       {Span{From: at(0), To: at(9)}, true},
		"without end":  {Span{From: at(0)}, true},
		"from within":  {Span{From: at(3), To: at(9)}, true},
		"after":        {Span{From: at(5), To: at(9)}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.span.Overlaps(at(2), at(4)), test.want) })
	}
}
