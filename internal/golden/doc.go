// SPDX-License-Identifier: MIT

/*
Package golden compares the encoded forms of types with bytes that an earlier
version wrote.

Whatever is stored, or sent to a process of another version, must keep its
encoding when fields are renamed or moved. A test fills a value, encodes it, and
compares the result with a file of hex digits in testdata:

	var r fleet.Record
	golden.Fill(&r)
	golden.Check(c, "record", r, encode, decode)

A file is written once, by the version that introduced the format, and doesn't
change afterwards: a different result is a break of the format.
*/
package golden
