// SPDX-License-Identifier: MIT

/*
Package fleet holds the tables that every entry instance agrees on and the
fold that builds them.

The platform's log gives one total order of records. Each entry reads the same
records and applies them to its own Tables:

	var t fleet.Tables
	for offset, rec := range records {
		if refusal := t.Apply(offset, rec); refusal != nil {
			// The record changed nothing, here and on every other entry.
		}
	}

Apply is a pure function of the tables and the record. It refuses what must
not happen: a configuration made from a stale version, a take-out that breaks
an availability budget, an assignment of an instance that is still in a pool,
a second start of a job. Two operators or two executors that race are two
records, of which the fold admits the first. No lock or lease is needed for
safety.

Tables are carried forward by checkpoints, see Tables.Checkpoint and
LoadCheckpoint. Two entries at the same offset have equal checkpoints.
*/
package fleet
