package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fieldsOf lists every field name of a settings type and of the types in it.
func fieldsOf(t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == addressType {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
		names = append(names, fieldsOf(t.Field(i).Type)...)
	}
	return names
}

// TestReference holds the settings reference against the code: every field is
// described, and every default is the one that is applied.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, kind := range []any{Deployment{}, Instance{}, Operator{}} {
		for _, name := range fieldsOf(reflect.TypeOf(kind)) {
			t.Run(name, func(t *testing.T) {
				described := false
				for _, form := range []string{"`%`", ".%`", "`%[", ".%[", "`%."} {
					described = described || strings.Contains(string(page), strings.Replace(form, "%", name, 1))
				}
				assert.Assert(t, described, "%s is not described", name)
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
