package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// allFieldNames returns the names of all fields of a settings type, including
// those of nested types.
func allFieldNames(t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == addressType {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
		names = append(names, allFieldNames(t.Field(i).Type)...)
	}
	return names
}

// TestSettingsReferenceIsComplete checks that the settings reference describes
// every field and states the defaults that are applied.
func TestSettingsReferenceIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, kind := range []any{Deployment{}, Instance{}, Operator{}} {
		for _, name := range allFieldNames(reflect.TypeOf(kind)) {
			t.Run(name, func(t *testing.T) {
				described := false
				for _, form := range []string{"`%`", ".%`", "`%[", ".%[", "`%."} {
					described = described || strings.Contains(string(page), strings.Replace(form, "%", name, 1))
				}
				assert.Assert(t, described, "%s is not described in docs/OPERATIONS.md", name)
			})
		}
	}
	for _, kind := range []any{Pool{}, Callers{}, Model{}, Class{}} {
		fields := reflect.TypeOf(kind)
		for i := range fields.NumField() {
			field := fields.Field(i)
			text := strings.Trim(field.Tag.Get("default"), `"`)
			if text == "" || text == "[]" {
				continue
			}
			t.Run("default of "+field.Tag.Get("json"), func(t *testing.T) {
				row := "." + field.Tag.Get("json") + "` | `" + text + "`"
				assert.Assert(t, strings.Contains(string(page), row), "expected a row with %s", row)
			})
		}
	}
}
