// SPDX-License-Identifier: MIT

/*
Package config decodes and validates files of JSON with comments.

Decode fills a struct and reports all problems of the file at once, each with
its line and a remedy. An unknown key is a problem:

	problems := config.Decode("entry.jsonc", data, &settings)

Settings configure one entry and are read when it starts. They are distinct
from the configuration of the fleet, which operators publish while entries
run; see package fleet.
*/
package config
