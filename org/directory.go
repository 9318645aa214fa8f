// SPDX-License-Identifier: MIT

package org

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"math"

	"rackstep.dev/job"
)

// Digest is what is kept of a key: its SHA-256.
type Digest [sha256.Size]byte

// maxKey is the longest key that a caller may show, in bytes: a longer one is unknown without being hashed.
const maxKey = 256

// DigestOf returns what is kept of a key. It allocates nothing for keys that callers may show.
func DigestOf(key string) Digest {
	var buf [maxKey]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, errors.New("is not a SHA-256 in hexadecimal; make one with 'rackstep token'")
	}
	copy(d[:], b)
	return d, nil
}

// Organisation is who hands in work.
type Organisation struct {
	Name string
	// Keys are the digests of the keys that it may show.
	Keys []Digest
	// Weight is its share where all want more than there is; it is also how many jobs a second it may send before they count as beyond its
	// rate, see Rate.
	Weight float64
	// Cap bounds what it may have running, over all pools; a figure of 0 bounds nothing.
	Cap job.Need
}

// WithinCap says whether a total is within the cap.
func (o *Organisation) WithinCap(total job.Need) bool {
	return within(total, o.Cap, total)
}

// maxName bounds a name in bytes: it is part of the keys under which jobs are kept, of which the users' store takes 255.
const maxName = 200

// ConfigError says what is wrong with the organisations of a configuration, and what to do.
type ConfigError struct {
	// Organisation is the name of the one at fault; Problem and Remedy are sentences.
	Organisation, Problem, Remedy string
}

// Error returns the problem and its remedy.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("organisation %q: %s; %s", e.Organisation, e.Problem, e.Remedy)
}

// Directory is one version of the organisations; the zero value has none.
type Directory struct {
	byName map[string]*Organisation
	byKey  map[Digest]*Organisation
}

// NewDirectory returns the directory of the rows, or a joined error with a ConfigError for each mistake; then nothing is in force.
func NewDirectory(rows []Organisation) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Organisation, len(rows)), byKey: make(map[Digest]*Organisation)}
	var problems []error
	for i := range rows {
		o := &rows[i]
		wrong := func(problem, remedy string) {
			problems = append(problems, &ConfigError{Organisation: o.Name, Problem: problem, Remedy: remedy})
		}
		switch {
		case o.Name == "" || len(o.Name) > maxName:
			wrong("its name is empty or too long", fmt.Sprintf("give it 1 to %d bytes", maxName))
		case d.byName[o.Name] != nil:
			wrong("it stands twice", "give each organisation once")
		}
		if math.IsNaN(o.Weight) || o.Weight <= 0 || math.IsInf(o.Weight, 0) {
			wrong("its weight is not above 0", "give a positive number")
		}
		if o.Cap.AnyNegative() {
			wrong("its cap is negative", "give a positive figure, or 0 for no limit")
		}
		for _, k := range o.Keys {
			if other := d.byKey[k]; other != nil && other != o {
				wrong("one of its keys is also that of "+other.Name, "make a new key for one of them")
			}
			d.byKey[k] = o
		}
		d.byName[o.Name] = o
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return d, nil
}

// Len returns how many organisations there are.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// ByName returns the organisation with the name, or nil.
func (d *Directory) ByName(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// bounded says whether any organisation has a cap.
func (d *Directory) bounded() bool {
	if d == nil {
		return false
	}
	for _, o := range d.byName {
		if o.Cap != (job.Need{}) {
			return true
		}
	}
	return false
}

// ByKey returns the organisation that a key belongs to, or nil.
//
// What a caller can measure tells it of the digest of what it has shown, which it knows, and nothing of others' keys.
func (d *Directory) ByKey(key string) *Organisation {
	if d == nil || key == "" || len(key) > maxKey {
		return nil
	}
	return d.ByDigest(DigestOf(key))
}

// ByDigest returns the organisation that a key with the digest belongs to, or nil.
func (d *Directory) ByDigest(digest Digest) *Organisation {
	if d == nil {
		return nil
	}
	o := d.byKey[digest]
	if o == nil {
		return nil
	}
	for i := range o.Keys {
		if subtle.ConstantTimeCompare(o.Keys[i][:], digest[:]) == 1 {
			return o
		}
	}
	return nil
}
