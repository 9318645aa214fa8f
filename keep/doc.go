// SPDX-License-Identifier: MIT

/*
Package keep writes what must last of a leader's tables to a keyed topic.

A leader makes a batch of records of what has changed, one batch at a time; a
Writer appends it. Nothing whose size goes with the size of the fleet stands in
one record: what is kept is rows, each under its key, written when it changes.

What a store answers to an append comes in three kinds, and each has its own
way on:

	not done, or nobody knows   the same call again, until it is answered
	surely never                the record goes aside, alone; all others are kept
	fenced                      another leader writes now: the term is over

A record is surely never taken when it is longer than the store allows, or when
the store refuses it by itself. A batch that is refused is halved until the
record at fault stands alone, so that one bad record costs what rests on it
and nothing else.
*/
package keep
