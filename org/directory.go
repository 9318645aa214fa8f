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

// Digest is the SHA-256 of an API key. Keys themselves are not stored.
type Digest [sha256.Size]byte

// maxKeyLen bounds keys in bytes. A longer key is rejected without being hashed.
const maxKeyLen = 256

// DigestOf returns the digest of a key. It does not allocate for keys up to maxKeyLen bytes.
func DigestOf(key string) Digest {
	var buf [maxKeyLen]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, errors.New("is not a SHA-256 in hexadecimal; make one with 'rackstep token'")
	}
	copy(d[:], b)
	return d, nil
}

// Organisation is a tenant that submits jobs.
type Organisation struct {
	Name string
	// Keys are the digests of its API keys.
	Keys []Digest
	// Weight determines its share when the organisations together want more than there is. It is also the number of
	// jobs per second that it may submit before further ones count as over its rate; see Rate.
	Weight float64
	// Cap limits the resources that its running tasks may use over all pools. A figure of 0 means no limit.
	Cap job.Need
}

// WithinCap reports whether a total is within the cap.
func (o *Organisation) WithinCap(total job.Need) bool {
	return within(total, o.Cap, total)
}

// maxNameLen bounds names in bytes. The name is part of the keys under which jobs are stored, and the users' store
// limits keys to 255 bytes.
const maxNameLen = 200

// ConfigError is a mistake in the configuration of an organisation.
type ConfigError struct {
	// Organisation is the name of the organisation at fault. Problem says what is wrong and Remedy how to fix it.
	Organisation, Problem, Remedy string
}

// Error returns the problem and its remedy.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("organisation %q: %s; %s", e.Organisation, e.Problem, e.Remedy)
}

// Directory is one version of the set of organisations. The zero value is empty.
type Directory struct {
	byName map[string]*Organisation
	byKey  map[Digest]*Organisation
}

// NewDirectory returns a directory of the given organisations. If there are mistakes, it returns no directory and a
// joined error with one ConfigError for each.
func NewDirectory(rows []Organisation) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Organisation, len(rows)), byKey: make(map[Digest]*Organisation)}
	var problems []error
	for i := range rows {
		o := &rows[i]
		report := func(problem, remedy string) {
			problems = append(problems, &ConfigError{Organisation: o.Name, Problem: problem, Remedy: remedy})
		}
		switch {
		case o.Name == "" || len(o.Name) > maxNameLen:
			report("its name is empty or too long", fmt.Sprintf("give it 1 to %d bytes", maxNameLen))
		case d.byName[o.Name] != nil:
			report("its name occurs twice", "list each organisation once")
		}
		if math.IsNaN(o.Weight) || o.Weight <= 0 || math.IsInf(o.Weight, 0) {
			report("its weight is not above 0", "give a positive number")
		}
		if o.Cap.AnyNegative() {
			report("its cap is negative", "give a positive figure, or 0 for no limit")
		}
		for _, k := range o.Keys {
			if other := d.byKey[k]; other != nil && other != o {
				report("it shares a key with organisation "+other.Name, "create a new key for one of them")
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

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// ByName returns the organisation with the given name, or nil.
func (d *Directory) ByName(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// hasCaps reports whether any organisation has a cap.
func (d *Directory) hasCaps() bool {
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

// ByKey returns the organisation that the key belongs to, or nil.
//
// The map lookup by digest does not run in constant time. Its timing only depends on the digest of the presented
// key, which the caller knows, and reveals nothing about the keys of others.
func (d *Directory) ByKey(key string) *Organisation {
	if d == nil || key == "" || len(key) > maxKeyLen {
		return nil
	}
	return d.ByDigest(DigestOf(key))
}

// ByDigest returns the organisation that has a key with the given digest, or nil.
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
