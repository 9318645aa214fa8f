// SPDX-License-Identifier: MIT

package org

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

func directory(c *quicktest.C, rows ...Organisation) *Directory {
	c.Helper()
	d, err := NewDirectory(rows)
	c.Assert(err, quicktest.IsNil)
	return d
}

func TestAKeyNamesOneOrganisation(t *testing.T) {
	c := quicktest.New(t)
	long := strings.Repeat("k", maxKey)
	d := directory(c,
		Organisation{Name: "a", Weight: 1, Keys: []Digest{DigestOf("key-a1"), DigestOf("key-a2")}},
		Organisation{Name: "b", Weight: 2, Keys: []Digest{DigestOf(long)}},
		Organisation{Name: "none", Weight: 3})
	for key, want := range map[string]string{"key-a1": "a", "key-a2": "a", long: "b", long + "k": "", "": "", "key-a": "", "key-a1 ": "", "KEY-A1": ""} {
		got := ""
		if o := d.ByKey(key); o != nil {
			got = o.Name
		}
		c.Check(got, quicktest.Equals, want, quicktest.Commentf("key %.20q", key))
	}
	c.Assert(d.Len(), quicktest.Equals, 3)
	var none *Directory
	c.Assert(none.ByKey("key-a1"), quicktest.IsNil)
	c.Assert(none.ByName("a"), quicktest.IsNil)
}

func TestABrokenConfigurationIsToldWithItsRemedyAndWithoutItsKeys(t *testing.T) {
	secret := DigestOf("secret-key")
	for _, test := range [...]struct {
		name string
		rows []Organisation
		want []string
	}{
		{"twice", []Organisation{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, []string{`organisation "a": it stands twice; give each organisation once`}},
		{"a key for two", []Organisation{{Name: "a", Weight: 1, Keys: []Digest{secret}}, {Name: "b", Weight: 1, Keys: []Digest{secret}}}, []string{`organisation "b": one of its keys is also that of a; make a new key for one of them`}},
		{"a negative cap", []Organisation{{Name: "a", Weight: 1, Cap: job.Need{MemoryMB: -1}}}, []string{"its cap is negative; give a positive figure, or 0 for no limit"}},
		{"no weight", []Organisation{{Name: "a"}}, []string{"its weight is not above 0; give a positive number"}},
		{"no number", []Organisation{{Name: "a", Weight: math.NaN()}}, []string{"its weight is not above 0"}},
		{"no name", []Organisation{{Weight: 1}}, []string{"its name is empty or too long; give it 1 to 200 bytes"}},
		{"several", []Organisation{{Name: "a", Weight: -1}, {Name: "a", Weight: 1}}, []string{"weight", "twice"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			d, err := NewDirectory(test.rows)
			c.Assert(d, quicktest.IsNil)
			var wrong *ConfigError
			c.Assert(errors.As(err, &wrong), quicktest.IsTrue)
			for _, want := range test.want {
				c.Check(err.Error(), quicktest.Contains, want)
			}
			c.Check(strings.Contains(err.Error(), "secret-key"), quicktest.IsFalse)
		})
	}
}

func TestTheSameKeyTwiceInOneOrganisationIsOne(t *testing.T) {
	c := quicktest.New(t)
	d := directory(c, Organisation{Name: "a", Weight: 1, Keys: []Digest{DigestOf("k"), DigestOf("k")}})
	c.Assert(d.ByKey("k").Name, quicktest.Equals, "a")
}

func TestDigestsInHexadecimal(t *testing.T) {
	c := quicktest.New(t)
	want := DigestOf("token")
	got, err := ParseDigest(fmt.Sprintf("%x", want[:]))
	c.Assert(err, quicktest.IsNil)
	c.Assert(got, quicktest.Equals, want)
	for _, wrong := range [...]string{"", "zz", "00"} {
		_, err := ParseDigest(wrong)
		c.Assert(err, quicktest.ErrorMatches, ".*make one with 'rackstep token'")
	}
}

// TestWhatAnEntryThatDoesNotSeeTheConfigurationAnswers weighs both mistakes: a key that may be new must not be called unknown, and one that
// may have been withdrawn must not open for ever.
func TestWhatAnEntryThatDoesNotSeeTheConfigurationAnswers(t *testing.T) {
	c := quicktest.New(t)
	p := StalenessLimits{Unknown: 3 * time.Second, Known: 9 * time.Second}
	for _, test := range [...]struct {
		known bool
		age   time.Duration
		want  Verdict
	}{
		{true, 0, Admitted}, {true, 9 * time.Second, Admitted}, {true, 9*time.Second + 1, CantTell}, {true, math.MaxInt64, CantTell},
		{false, 0, Refused}, {false, 3 * time.Second, Refused}, {false, 3*time.Second + 1, CantTell}, {false, math.MaxInt64, CantTell},
	} {
		c.Check(p.Check(test.known, test.age), quicktest.Equals, test.want, quicktest.Commentf("known=%t age=%v", test.known, test.age))
	}
	c.Check(StalenessLimits{}.Check(true, time.Hour), quicktest.Equals, Admitted)
	c.Check(StalenessLimits{}.Check(false, time.Hour), quicktest.Equals, Refused)
}

func TestTheKeyOfAHeader(t *testing.T) {
	c := quicktest.New(t)
	for header, want := range map[string]string{"Bearer k": "k", "bearer k": "k", "Bearer  k ": "k", "Basic k": "", "Bearer": "", "Bearer ": "", "": "", "k": ""} {
		c.Check(KeyOf(header), quicktest.Equals, want, quicktest.Commentf("%q", header))
	}
}

// BenchmarkWho gives the look-up of a key among 350 organisations with two keys each; it must take under 200 ns and allocate nothing.
func BenchmarkWho(b *testing.B) {
	var rows []Organisation
	for i := range 350 {
		rows = append(rows, Organisation{Name: fmt.Sprint("o", i), Weight: 1, Keys: []Digest{DigestOf(fmt.Sprint("key-of-twenty-b-", i)), DigestOf(fmt.Sprint("second-", i))}})
	}
	d, err := NewDirectory(rows)
	quicktest.Assert(b, err, quicktest.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		if d.ByKey("key-of-twenty-b-177") == nil {
			b.Fatal("unknown")
		}
	}
}

func TestALookUpAllocatesNothing(t *testing.T) {
	c := quicktest.New(t)
	d := directory(c, Organisation{Name: "a", Weight: 1, Keys: []Digest{DigestOf("key-of-twenty-bytes-")}})
	c.Assert(testing.AllocsPerRun(100, func() { d.ByKey("key-of-twenty-bytes-"); d.ByKey("another") }), quicktest.Equals, 0.0)
}
