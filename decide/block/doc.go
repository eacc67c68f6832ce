// Package block implements the table of client blocks: IPv4 and IPv6 prefixes
// with the home region of their clients and the failure domains that the clients
// prefer there.
//
// # The table
//
// A Table is immutable. Readers hold a pointer to it and need no lock. A new
// table is built next to the old one and replaces it as a whole, so a look-up
// sees either all of a change or none of it.
//
// The blocks of each address family are kept in one ascending order, by start
// address and then by length, and split into pages of at most 128. A look-up
// searches the directory of first addresses and then the page for the last block
// that starts at or before the address. Two prefixes are either nested or
// disjoint, so the longest match is that block or one of the blocks that enclose
// it. Each entry refers to the entry of its page that encloses it, and each page
// lists the blocks of earlier pages that enclose its first entry.
//
// A block takes 8 bytes (IPv4) or 16 bytes (IPv6). Homes are stored once and
// referred to by number, since millions of blocks have a few hundred distinct
// homes at most.
//
// # Changes
//
// A Delta lists changed and removed blocks and the checksums of the table before
// and after the change. Patch copies the changed pages and the directory and
// shares all other pages. The checksum is a sum over the blocks, so it can be
// updated without visiting unchanged blocks. It prevents a delta from being
// applied to a table for which it was not made; otherwise daemons would
// route by different tables and nothing would report it.
//
// # Sources
//
// Load reads the text form. EncodeChunks and DecodeChunks handle the form that is
// stored in the platform's service, which limits the size of values. Load and
// DecodeChunks reject a faulty source as a whole and report where the fault is;
// the caller keeps its current table.
package block
