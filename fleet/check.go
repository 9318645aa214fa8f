// SPDX-License-Identifier: MIT

package fleet

import (
	"encoding/hex"
	"fmt"
	"slices"
)

// Problem is one error in a configuration: where it is and how to correct it.
type Problem struct {
	// Path is the JSON pointer (RFC 6901) to the faulty value.
	Path string
	// Detail says what is wrong and what to write instead.
	Detail string
}

// String returns the path and the detail on one line.
func (p Problem) String() string { return p.Path + ": " + p.Detail }

// Check returns all problems of the configuration; it can be published when there are none.
func (c *Configuration) Check() []Problem {
	k := checker{conf: c}
	k.dataCentres()
	k.pools()
	k.services()
	k.teams()
	k.operators()
	return k.problems
}

// checker collects the problems of a configuration.
type checker struct {
	conf     *Configuration
	problems []Problem
}

func (k *checker) add(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

func (k *checker) dataCentres() {
	if len(k.conf.DataCentres) == 0 {
		k.add("/data_centres", "is empty; name at least one data centre")
	}
	checkNames(k, "/data_centres", k.conf.DataCentres, dataCentreName)
}

func (k *checker) pools() {
	checkNames(k, "/pools", k.conf.Pools, poolName)
	owner := make(map[string]string)
	for i, p := range k.conf.Pools {
		k.notNegative(fmt.Sprintf("/pools/%d/min_available", i), p.MinAvailable)
		for j, m := range p.Members {
			if other, ok := owner[m]; ok {
				k.add(fmt.Sprintf("/pools/%d/members/%d", i, j), "instance %q is in pool %q already; keep it in one", m, other)
			}
			owner[m] = p.Name
		}
	}
}

func (k *checker) services() {
	checkNames(k, "/services", k.conf.Services, serviceName)
	for i, s := range k.conf.Services {
		path := fmt.Sprintf("/services/%d", i)
		if k.conf.Pool(s.Pool) == nil {
			k.add(path+"/pool", "pool %q is not declared; add it under pools or correct the name", s.Pool)
		}
		if len(s.DataCentres) == 0 {
			k.add(path+"/data_centres", "is empty; name the data centres where the service may run")
		}
		for j, d := range s.DataCentres {
			if k.conf.DataCentre(d) == nil {
				k.add(fmt.Sprintf("%s/data_centres/%d", path, j), "data centre %q is not declared; add it under data_centres", d)
			}
		}
		k.limits(path, s)
	}
}

func (k *checker) limits(path string, s Service) {
	k.notNegative(path+"/min_available", s.MinAvailable)
	k.notNegative(path+"/min_per_data_centre", s.MinPerDataCentre)
	k.notNegative(path+"/slots", s.Slots)
	k.notNegative(path+"/connections", s.Connections)
	k.notNegative(path+"/queue", s.Queue)
	k.notNegative(path+"/timeout", int(s.Timeout))
	if s.ConnectionLimit() < s.SlotLimit() {
		k.add(path+"/connections", "is below slots; each slot needs a connection")
	}
}

func (k *checker) notNegative(path string, v int) {
	if v < 0 {
		k.add(path, "is below 0; write 0 for the default or a positive number")
	}
}

func (k *checker) teams() {
	checkNames(k, "/teams", k.conf.Teams, teamName)
	for i, t := range k.conf.Teams {
		path := fmt.Sprintf("/teams/%d", i)
		k.tokenHash(path, t.TokenHash)
		k.notNegative(path+"/share", t.Share)
		k.notNegative(path+"/job_cores", t.JobCores)
	}
}

func (k *checker) operators() {
	checkNames(k, "/operators", k.conf.Operators, operatorName)
	if len(k.conf.Operators) == 0 {
		k.add("/operators", "is empty; name at least one operator, or nobody can publish again")
	}
	for i, o := range k.conf.Operators {
		k.tokenHash(fmt.Sprintf("/operators/%d", i), o.TokenHash)
	}
}

func (k *checker) tokenHash(path, hash string) {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != 32 {
		k.add(path+"/token_hash", "is not a SHA-256 in hexadecimal; make one with 'rackstep token'")
	}
}

// maxNameLength bounds the length of a name in bytes.
const maxNameLength = 64

// checkNames checks that the names of the rows are valid and unique.
func checkNames[R any](k *checker, path string, rows []R, nameOf func(*R) string) {
	var seen []string
	for i := range rows {
		name, namePath := nameOf(&rows[i]), fmt.Sprintf("%s/%d/name", path, i)
		switch {
		case !validName(name):
			k.add(namePath, "%q is not a name; use 1 to %d letters, digits, '.', '_' or '-'", name, maxNameLength)
		case slices.Contains(seen, name):
			k.add(namePath, "%q stands twice; names are unique", name)
		}
		seen = append(seen, name)
	}
}

// validName reports whether s is a valid name of a configured object or a job.
func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '_', r == '-':
		default:
			return false
		}
	}
	return true
}
