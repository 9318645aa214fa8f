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

// Check encodes value and compares the result with testdata/NAME.hex. It then decodes the file's bytes into a new value of the same type,
// encodes that, and compares again.
func Check(c *quicktest.C, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	c.Helper()
	file, err := os.ReadFile(filepath.Join("testdata", name+".hex"))
	c.Assert(err, quicktest.IsNil)
	stored := strings.TrimSpace(string(file))
	encoded, err := encode(value)
	c.Assert(err, quicktest.IsNil)
	c.Check(hex.EncodeToString(encoded), quicktest.Equals, stored, quicktest.Commentf("the encoding of %T has changed", value))
	b, err := hex.DecodeString(stored)
	c.Assert(err, quicktest.IsNil)
	decoded := reflect.New(reflect.TypeOf(value))
	c.Assert(decode(b, decoded.Interface()), quicktest.IsNil)
	reencoded, err := encode(decoded.Elem().Interface())
	c.Assert(err, quicktest.IsNil)
	c.Check(hex.EncodeToString(reencoded), quicktest.Equals, stored, quicktest.Commentf("a stored %T does not encode to the same bytes after decoding", value))
}

// Fill sets every exported field of the struct that value points to, and recursively of the types that it contains, in the order of declaration,
// to values that are distinct and not zero. Integers are taken modulo 128, so that they fit an int8: beyond 127 values they repeat, and every
// 128th value is zero if it falls on an integer. Fields whose cbor or json tag is "-", and interfaces, stay zero.
func Fill(value any) {
	var f filler
	f.fill(reflect.ValueOf(value).Elem())
}

// filler generates the values for Fill.
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
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Struct:
		f.fillFields(v)
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillFields(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() && field.Tag.Get("cbor") != "-" && field.Tag.Get("json") != "-" {
			f.fill(v.Field(i))
		}
	}
}

// text returns a short string that is unique among numbers below 65536.
func text(n int64) string { return "text-" + hex.EncodeToString([]byte{byte(n >> 8), byte(n)}) }
