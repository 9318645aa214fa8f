// SPDX-License-Identifier: MIT

/*
Package admin is the operators' interface of an entry: HTTP with JSON, on an
address of its own.

Every request but the metrics carries an operator's token. Before the first
configuration there are no operators; until then the bootstrap token of the
settings is accepted, and only to publish that first configuration.

The types that travel are plain structs in this package, which the command
line uses too. The protocol is in docs/PROTOCOLS.md.
*/
package admin
