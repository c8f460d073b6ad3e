package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/tailscale/hujson"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int
	// Path is the path of the field, for example "pools[1].name". It is empty for
	// syntax errors.
	Path string
	// Message says what was found and what was expected.
	Message string
}

// String formats the problem as FILE:LINE: PATH: MESSAGE.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems holds all errors found in one file. It is never empty when it is
// returned as an error.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// ByteSize is a number of bytes, written with a unit, for example "64KiB".
type ByteSize int64

var (
	durationType = reflect.TypeFor[time.Duration]()
	byteSizeType = reflect.TypeFor[ByteSize]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// decoder decodes a JSON tree into a Go value and collects all problems instead
// of stopping at the first. lines maps the paths of decoded fields to their line
// numbers.
type decoder struct {
	file     string
	source   []byte
	lines    map[string]int
	problems Problems
}

// decode decodes JSON with comments into target, which points to a struct.
func decode(file string, source []byte, target any) *decoder {
	d := &decoder{file: file, source: source, lines: make(map[string]int)}
	root, err := hujson.Parse(source)
	if err != nil {
		d.problems = append(d.problems, Problem{File: file, Line: syntaxLine(err), Message: err.Error()})
		return d
	}
	d.value("", root, reflect.ValueOf(target).Elem())
	return d
}

// syntaxLine extracts the line number from the message of a hujson error, which
// starts with "hujson: line 3, column 4:".
func syntaxLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

// addProblem adds a problem at a path. Its line is that of the path, or of the
// nearest enclosing path if the path is not in the file.
func (d *decoder) addProblem(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    d.line(path),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return max(d.lines[""], 1)
		}
		path = path[:cut]
	}
}

func (d *decoder) value(path string, from hujson.Value, to reflect.Value) {
	d.lines[path] = 1 + strings.Count(string(d.source[:from.StartOffset]), "\n")
	switch to.Type() {
	case durationType:
		d.duration(path, from, to)
		return
	case byteSizeType:
		d.byteSize(path, from, to)
		return
	case addressType:
		d.address(path, from, to)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(path, from, to)
	case reflect.Slice:
		d.array(path, from, to)
	case reflect.String:
		if text, ok := d.text(path, from, "a string"); ok {
			to.SetString(text)
		}
	case reflect.Bool:
		d.boolean(path, from, to)
	case reflect.Int:
		d.integer(path, from, to)
	default:
		panic("settings: no decoder for " + to.Type().String())
	}
}

func (d *decoder) object(path string, from hujson.Value, to reflect.Value) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "found %s, expected an object", describeValue(from))
		return
	}
	fields := fieldsByName(to.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		name := object.Members[i].Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, name)
		index, known := fields[name]
		if !known {
			d.lines[fieldPath] = 1 + strings.Count(string(d.source[:object.Members[i].Name.StartOffset]), "\n")
			d.addProblem(fieldPath, "unknown field, expected one of %s", strings.Join(fieldNames(to.Type()), ", "))
			continue
		}
		if seen[name] {
			d.addProblem(fieldPath, "field is given twice")
		}
		seen[name] = true
		d.value(fieldPath, object.Members[i].Value, to.Field(index))
	}
	d.handleAbsentFields(path, to, seen)
}

// handleAbsentFields applies the defaults of absent fields and reports absent
// fields that are required.
func (d *decoder) handleAbsentFields(path string, to reflect.Value, seen map[string]bool) {
	for i := range to.NumField() {
		field := to.Type().Field(i)
		name := field.Tag.Get("json")
		if seen[name] {
			continue
		}
		fieldPath := joinPath(path, name)
		if text, ok := field.Tag.Lookup("default"); ok {
			d.setDefault(fieldPath, text, to.Field(i))
			continue
		}
		if field.Tag.Get("optional") == "" {
			d.addProblem(fieldPath, "missing, expected %s", describeExpected(field.Type))
		}
	}
}

// setDefault decodes a default value from the syntax of settings files, so that
// the settings reference shows defaults as users would write them.
func (d *decoder) setDefault(path, text string, to reflect.Value) {
	literal, err := hujson.Parse([]byte(text))
	if err != nil {
		literal = hujson.Value{Value: hujson.String(text)}
	}
	literal.StartOffset = 0
	line := d.line(path)
	d.value(path, literal, to)
	d.lines[path] = line
}

func (d *decoder) array(path string, from hujson.Value, to reflect.Value) {
	array, ok := from.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "found %s, expected a list", describeValue(from))
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), array.Elements[i], to.Index(i))
	}
}

func (d *decoder) text(path string, from hujson.Value, expected string) (string, bool) {
	literal, ok := from.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addProblem(path, "found %s, expected %s", describeValue(from), expected)
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) boolean(path string, from hujson.Value, to reflect.Value) {
	literal, ok := from.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.addProblem(path, "found %s, expected true or false", describeValue(from))
		return
	}
	to.SetBool(literal.Bool())
}

func (d *decoder) integer(path string, from hujson.Value, to reflect.Value) {
	literal, ok := from.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.addProblem(path, "found %s, expected a whole number", describeValue(from))
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		d.addProblem(path, "found %s, expected a whole number", describeValue(from))
		return
	}
	if n < 0 {
		d.addProblem(path, "found %d, expected zero or more", n)
		return
	}
	to.SetInt(n)
}

func (d *decoder) duration(path string, from hujson.Value, to reflect.Value) {
	const expected = `a duration with a unit, such as "250ms" or "5s"`
	text, ok := d.text(path, from, expected)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		d.addProblem(path, "found %q, expected %s", text, expected)
		return
	}
	to.SetInt(int64(duration))
}

func (d *decoder) byteSize(path string, from hujson.Value, to reflect.Value) {
	const expected = `a size with a unit, such as "64KiB" or "2MB"`
	text, ok := d.text(path, from, expected)
	if !ok {
		return
	}
	_, numberErr := strconv.ParseFloat(text, 64)
	size, err := humanize.ParseBytes(text)
	if err != nil || numberErr == nil || size > 1<<40 {
		d.addProblem(path, "found %q, expected %s", text, expected)
		return
	}
	to.SetInt(int64(size))
}

func (d *decoder) address(path string, from hujson.Value, to reflect.Value) {
	const expected = `an IP address and a port, such as "10.0.0.7:8080"; host names are not resolved`
	text, ok := d.text(path, from, expected)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		d.addProblem(path, "found %q, expected %s", text, expected)
		return
	}
	to.Set(reflect.ValueOf(address))
}

func describeValue(from hujson.Value) string {
	switch v := from.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(v)
	default:
		return "nothing"
	}
}

func describeExpected(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration such as "5s"`
	case t == byteSizeType:
		return `a size such as "64KiB"`
	case t == addressType:
		return `an IP address and a port such as "10.0.0.7:8080"`
	}
	switch t.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a string"
	}
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range t.NumField() {
		names[i] = t.Field(i).Tag.Get("json")
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
