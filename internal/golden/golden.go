// SPDX-License-Identifier: MIT

package golden

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/frankban/quicktest"
)

// Check compares the encoded form of value with testdata/NAME.hex, then decodes the file's bytes into a new value of the type and compares what that
// encodes to.
func Check(c *quicktest.C, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	c.Helper()
	file, err := os.ReadFile(filepath.Join("testdata", name+".hex"))
	c.Assert(err, quicktest.IsNil)
	stored := strings.TrimSpace(string(file))
	now, err := encode(value)
	c.Assert(err, quicktest.IsNil)
	c.Check(hex.EncodeToString(now), quicktest.Equals, stored, quicktest.Commentf("the encoded form has changed"))
	b, err := hex.DecodeString(stored)
	c.Assert(err, quicktest.IsNil)
	read := reflect.New(reflect.TypeOf(value))
	c.Assert(decode(b, read.Interface()), quicktest.IsNil)
	again, err := encode(read.Elem().Interface())
	c.Assert(err, quicktest.IsNil)
	c.Check(hex.EncodeToString(again), quicktest.Equals, stored, quicktest.Commentf("a stored value is read differently"))
}

// Fill sets each exported field that value points to, and those of the types that it contains, to distinct values other than zero, in the order of
// declaration. Fields that are left out by a tag, and interfaces, stay zero.
func Fill(value any) {
	var f filler
	f.fill(reflect.ValueOf(value).Elem())
}

// filler gives out distinct values.
type filler struct{ last int64 }

func (f *filler) next() int64 {
	f.last++
	return f.last
}

func (f *filler) fill(v reflect.Value) {
	if t, ok := v.Addr().Interface().(*time.Time); ok {
		*t = time.UnixMicro(1_700_000_000_000_000 + f.next()).UTC()
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next() % 128)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next() % 128))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(text(f.next()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.elements(v)
	case reflect.Array:
		f.elements(v)
	case reflect.Map:
		f.entry(v)
	case reflect.Struct:
		f.fields(v)
	}
}

func (f *filler) elements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) entry(v reflect.Value) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fields(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() && field.Tag.Get("cbor") != "-" && field.Tag.Get("json") != "-" {
			f.fill(v.Field(i))
		}
	}
}

// text returns a short string that no other number has.
func text(n int64) string { return "text-" + hex.EncodeToString([]byte{byte(n >> 8), byte(n)}) }
