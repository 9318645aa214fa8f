// SPDX-License-Identifier: MIT

/*
Package admin implements the operators' HTTP interface of an entry, and a client
for it. The interface has its own address; bodies are JSON.

Every request except for the metrics needs an operator's token. Before the first
configuration is published there are no operators; until then the bootstrap
token of the settings is accepted, for publishing that configuration only.

The types of the bodies are plain structs, which the server and the command line
share. The protocol is described in docs/PROTOCOLS.md.
*/
package admin
