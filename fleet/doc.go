// SPDX-License-Identifier: MIT

/*
Package fleet holds the tables that all entries agree on and the fold that
builds them: a replicated state machine driven by the fleet log.

The platform's log defines a total order of records. Each entry reads the same
records and applies them to its own Tables:

	t := fleet.New()
	for offset, rec := range records {
		if refusal := t.Apply(offset, rec); refusal != nil {
			// The record changed nothing, here and on every other entry.
		}
	}

Apply is a deterministic function of the tables and the record. It refuses
invalid changes: a configuration based on a stale version, a take-out that
breaks an availability budget, an assignment of an instance that is still in a
pool, a second start of a job. When two operators or two executors race, both
append a record and the fold admits the first. Safety needs no lock or lease.

Checkpoints stand in for the older part of the log; see Tables.Checkpoint and
LoadCheckpoint. Two entries at the same offset have equal checkpoints. A
checkpoint also contains the texts of refusals and of job notes, so changing
such a text changes the checkpoints.
*/
package fleet
