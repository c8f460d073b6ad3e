package holdings

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

const model = comfreyworks.Model("oak")

func prompt() []comfreyworks.PromptPart {
	return []comfreyworks.PromptPart{{ID: "guide", Tokens: 2500}, {ID: "site", Tokens: 800}, {ID: "own", Tokens: 100}}
}

func TestPrefix(t *testing.T) {
	salt := Salt("shared", 2)
	cases := map[string]struct {
		held []Part
		want int
	}{
		"nothing":                      {nil, 0},
		"first part":                   {[]Part{{salt, model, "guide", 2500}}, 2500},
		"first two parts":              {[]Part{{salt, model, "guide", 2500}, {salt, model, "site", 800}}, 3300},
		"first part missing":           {[]Part{{salt, model, "site", 800}}, 0},
		"part of the first":            {[]Part{{salt, model, "guide", 1024}, {salt, model, "site", 800}}, 1024},
		"less than a block short":      {[]Part{{salt, model, "guide", 2496}, {salt, model, "site", 800}}, 3300},
		"older weights":                {[]Part{{Salt("shared", 1), model, "guide", 2500}}, 0},
		"another cache scope":          {[]Part{{Salt("workspace:a", 2), model, "guide", 2500}}, 0},
		"another model":                {[]Part{{salt, "ash", "guide", 2500}}, 0},
		"evicted":                      {[]Part{{salt, model, "guide", 2500}, {salt, model, "guide", 0}}, 0},
		"evicted except for one block": {[]Part{{salt, model, "guide", 2500}, {salt, model, "guide", 16}}, 16},
		"the first one is evicted":     {[]Part{{salt, model, "guide", 2500}, {salt, model, "site", 800}, {salt, model, "guide", 0}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			index := New()
			for _, part := range c.held {
				index.Add("e1", part)
			}
			assert.Equal(t, index.PrefixTokens(salt, model, prompt())["e1"], c.want)
		})
	}
	t.Run("engines are counted separately", func(t *testing.T) {
		index := New()
		index.Add("e1", Part{salt, model, "guide", 2500})
		index.Add("e2", Part{salt, model, "site", 800})
		assert.DeepEqual(t, index.PrefixTokens(salt, model, prompt()), map[comfreyworks.InstanceID]int{"e1": 2500})
	})
	t.Run("an engine is forgotten", func(t *testing.T) {
		index := New()
		index.Add("e1", Part{salt, model, "guide", 2500})
		index.Add("e2", Part{salt, model, "guide", 2500})
		index.RemoveEngine("e1")
		assert.DeepEqual(t, index.PrefixTokens(salt, model, prompt()), map[comfreyworks.InstanceID]int{"e2": 2500})
		index.RemoveEngine("e2")
		assert.Equal(t, len(index.holders), 0)
	})
}

// TestMaxPartsPerEngine adds parts of an engine that never reports evictions. The
// index must keep only the parts added last.
func TestMaxPartsPerEngine(t *testing.T) {
	index := New()
	for i := range 2 * maxPartsPerEngine {
		index.Add("e1", Part{Salt: "s", Model: model, ID: fmt.Sprint(i), Tokens: 100})
	}
	assert.Equal(t, len(index.holders), maxPartsPerEngine)
	last := []comfreyworks.PromptPart{{ID: fmt.Sprint(2*maxPartsPerEngine - 1), Tokens: 100}}
	assert.Equal(t, index.PrefixTokens("s", model, last)["e1"], 100)
}
