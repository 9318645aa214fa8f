// SPDX-License-Identifier: MIT

/*
Package config reads files of JSON with comments and checks them whole.

Decode fills a struct and reports every problem at once, each with its file,
line and remedy; an unknown key is a problem:

	problems := config.Decode("entry.jsonc", data, &settings)

Settings are what one entry is told when it starts. The configuration of the
fleet is another thing: operators publish it, see package fleet.
*/
package config
