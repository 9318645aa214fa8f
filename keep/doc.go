// SPDX-License-Identifier: MIT

/*
Package keep stores a leader's tables to a keyed topic.

The leader makes one batch of changed records at a time, and a Writer appends
it. Each row is a record under its own key and is written when it changes, so
that no record grows with the size of the fleet.

The store's answers to an append fall into three classes:

	not done, or unknown     the same call is repeated until it is answered
	permanently refused      the record is set aside; all others are stored
	fenced                   a later leader writes; the term is over

A record is permanently refused when it is longer than the store allows, or
when the store refuses it on its own. A refused batch is halved until the
record at fault stands alone, so that one bad record affects only what depends
on it.
*/
package keep
