package catalog

import (
	"slices"

	"comfreyworks"
)

// maxGaps limits the gaps that a coverage holds. Beyond it the two oldest are joined.
const maxGaps = 32

// coverage tells since which positions all changes of a list are known. Who knows them
// may tell a receiver at that position what changed; any other receiver needs the whole
// list.
type coverage struct {
	// gaps are in increasing order.
	gaps []gap
}

// gap is a range of positions, without its ends, since which not all changes are
// known. A whole list makes one: compared with the list before, it shows what was
// changed since the position of that list, but not what was added and removed again.
type gap struct {
	after, before comfreyworks.Position
}

// add records that the changes since the positions between two others are not known.
func (c *coverage) add(after, before comfreyworks.Position) {
	added := gap{after, before}
	c.gaps = slices.DeleteFunc(c.gaps, func(g gap) bool {
		overlaps := g.after < added.before && added.after < g.before
		if overlaps {
			added = gap{min(g.after, added.after), max(g.before, added.before)}
		}
		return overlaps
	})
	at, _ := slices.BinarySearchFunc(c.gaps, added, func(g, target gap) int {
		if g.after < target.after {
			return -1
		}
		return 1
	})
	c.gaps = slices.Insert(c.gaps, at, added)
	if len(c.gaps) > maxGaps {
		c.gaps[1].after = c.gaps[0].after
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
}

// includes reports whether all changes since a position are known. Nothing is known
// since position zero, which precedes every list.
func (c *coverage) includes(since comfreyworks.Position) bool {
	return since > 0 && !slices.ContainsFunc(c.gaps, func(g gap) bool { return g.after < since && since < g.before })
}
