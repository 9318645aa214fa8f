// SPDX-License-Identifier: MIT

package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a file.
type Problem struct {
	File string
	Line int
	// Path is the JSON pointer (RFC 6901) of the value.
	Path string
	// Detail states what is wrong and what to write instead.
	Detail string
}

// String formats the problem on one line, as compilers format errors.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Detail)
}

// File is a parsed file. It is kept to decode it and to find the lines of problems that later checks detect.
type File struct {
	Name string
	data []byte
	root hujson.Value
}

// Parse parses JSON with comments and trailing commas. The file is nil if there are problems.
func Parse(name string, data []byte) (*File, []Problem) {
	root, err := hujson.Parse(data)
	if err != nil {
		line := 1
		// The parser's messages contain the position as "line N, column M".
		if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
			_, _ = fmt.Sscanf(rest, "%d", &line) // line stays 1 if the message has no number
		}
		return nil, []Problem{{File: name, Line: line, Path: "/", Detail: err.Error() + "; write JSON, comments are allowed"}}
	}
	return &File{Name: name, data: data, root: root}, nil
}

// Decode parses data, decodes it into the struct that v points to and returns all problems. The name is used in problems only.
func Decode(name string, data []byte, v any) []Problem {
	f, problems := Parse(name, data)
	if f == nil {
		return problems
	}
	return f.Decode(v)
}

// Decode decodes the file into the struct that v points to and returns all problems. Fields without a problem are set.
func (f *File) Decode(v any) []Problem {
	d := decoder{file: f}
	d.value(&f.root, reflect.ValueOf(v).Elem(), "")
	return d.problems
}

// ProblemAt returns a problem of the value at the path. Its line is that of the value, or of the nearest enclosing value if the file
// does not have the value itself.
func (f *File) ProblemAt(path, detail string) Problem {
	for at := path; ; at = at[:strings.LastIndexByte(at, '/')] {
		if v := f.root.Find(at); v != nil {
			return Problem{File: f.Name, Line: f.line(v.StartOffset), Path: path, Detail: detail}
		}
		if !strings.Contains(at, "/") {
			return Problem{File: f.Name, Line: 1, Path: path, Detail: detail}
		}
	}
}

func (f *File) line(offset int) int {
	return 1 + strings.Count(string(f.data[:min(offset, len(f.data))]), "\n")
}

type decoder struct {
	file     *File
	problems []Problem
}

// report adds a problem of the value v.
func (d *decoder) report(v *hujson.Value, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file.Name, Line: d.file.line(v.StartOffset), Path: pathOrRoot(path), Detail: fmt.Sprintf(format, args...)})
}

func pathOrRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

// value decodes structs and slices element by element, so that all of their problems are reported, each with its own path.
func (d *decoder) value(v *hujson.Value, into reflect.Value, path string) {
	switch {
	case into.Kind() == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(v, into.Elem(), path)
	case into.CanAddr() && isUnmarshaler(into):
		d.leaf(v, into, path)
	case into.Kind() == reflect.Struct:
		d.object(v, into, path)
	case into.Kind() == reflect.Slice:
		d.array(v, into, path)
	default:
		d.leaf(v, into, path)
	}
}

func isUnmarshaler(v reflect.Value) bool {
	p := v.Addr().Interface()
	_, isJSON := p.(json.Unmarshaler)
	_, isText := p.(interface{ UnmarshalText([]byte) error })
	return isJSON || isText
}

func (d *decoder) object(v *hujson.Value, into reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "is not an object; write {...}")
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		key := name.String()
		at := path + "/" + key
		switch index, known := fields[key]; {
		case !known:
			d.report(&m.Name, at, "is not a known key; known keys are %s", strings.Join(sortedNames(fields), ", "))
		case seen[key]:
			d.report(&m.Name, at, "is given twice; keep one")
		default:
			d.value(&m.Value, into.Field(index), at)
		}
		seen[key] = true
	}
}

// fieldsOf returns the indexes of the struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedNames(fields map[string]int) []string {
	names := make([]string, 0, len(fields))
	for n := range fields {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (d *decoder) array(v *hujson.Value, into reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v, path, "is not a list; write [...]")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.value(&arr.Elements[i], into.Index(i), fmt.Sprintf("%s/%d", path, i))
	}
}

func (d *decoder) leaf(v *hujson.Value, into reflect.Value, path string) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), into.Addr().Interface()); err != nil {
		d.report(v, path, "is not a %s: %v", kindName(into), trimPrefix(err))
	}
}

// kindName names the expected kind of value for messages.
func kindName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	}
	return strings.ToLower(v.Type().Name())
}

func trimPrefix(err error) string { return strings.TrimPrefix(err.Error(), "json: ") }
