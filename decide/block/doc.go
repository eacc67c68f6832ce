// Package block holds the table of client blocks: IPv4 and IPv6 prefixes with
// the home region of their clients and the failure domains they prefer there.
//
// # The table
//
// A Table is immutable. Readers hold a pointer to it and need no lock; a new
// table is built beside the old one and takes its place as a whole, so a
// look-up sees either all of a change or none of it.
//
// The blocks of one address family are kept in one ascending order, first by
// start address and then by length, cut into pages of at most 128. A
// look-up searches the directory of first addresses, then the page, and finds
// the last block that starts at or before the address. Prefixes either nest or
// are disjoint, so the longest match is that block or one of the blocks
// enclosing it: every entry names the entry of its page that encloses it, and
// a page lists the blocks of earlier pages that enclose its first one.
//
// A block takes 8 bytes (IPv4) or 16 (IPv6). Homes are stored once and
// referred to by number, since there are a few hundred of them at most for
// millions of blocks.
//
// # Changes
//
// A Delta names changed and removed blocks together with the checksums of the
// table before and after. Patch copies the touched pages and the directory and
// shares the rest. The checksum is a sum over the blocks, so it follows a
// change without visiting the others; it keeps a delta from being applied to a
// table it was not made for, which would leave daemons steering by tables that
// differ without anybody noticing.
//
// # Sources
//
// Load reads the text form, EncodeChunks and DecodeChunks the form kept in the
// platform's service, whose values are limited in size. Both refuse a faulty
// source as a whole and say where the fault is; the caller keeps the table it
// has.
package block
