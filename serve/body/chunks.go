package body

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/azurethread/azurethread/serve/heads"
)

// Limits on the bytes of a chunked body that are not part of its content.
const (
	maxChunkLine    = 4 << 10  // the size of a chunk with its extensions
	maxTrailerBytes = 64 << 10 // all trailer fields together
)

// Errors for a malformed chunked body.
var (
	ErrChunkSize = errors.New("body: malformed chunk size")
	ErrChunkLine = fmt.Errorf("body: chunk size with extensions exceeds %d bytes", maxChunkLine)
	ErrChunkEnd  = errors.New("body: chunk without CR LF at its end")
	ErrTrailer   = fmt.Errorf("body: malformed trailer, or one that exceeds %d bytes", maxTrailerBytes)
)

// Chunks decodes a chunked body, a part at a time. Its zero value is at the start of
// the body. It stores no content, and bounds what a sender may transmit beside it:
// nbhttp collects a chunk's size, its content and the trailer without bound.
type Chunks struct {
	state chunkState
	left  int64  // rest of the chunk's content
	line  []byte // received part of a chunk's size or of the trailer
}

var crlf = []byte("\r\n")

type chunkState uint8

const (
	chunkSize    chunkState = iota // in a chunk's size and extensions
	chunkContent                   // in its content
	chunkEnd                       // in the line end after its content
	chunkTrailer                   // in the trailer fields
	chunksDone
)

// Done reports whether the body has ended.
func (c *Chunks) Done() bool { return c.state == chunksDone }

// Next decodes the start of data. It returns the content found there, which may be
// empty, and the number of bytes that were decoded, at least one unless data is empty
// or the body has ended.
func (c *Chunks) Next(data []byte) (content []byte, n int, err error) {
	if len(data) == 0 {
		return nil, 0, nil
	}
	switch c.state {
	case chunkSize:
		n, err = c.takeSize(data)
	case chunkContent:
		n = int(min(c.left, int64(len(data))))
		content = data[:n]
		if c.left -= int64(n); c.left == 0 {
			c.state = chunkEnd
		}
	case chunkEnd:
		n, err = c.takeEnd(data)
	case chunkTrailer:
		n, err = c.takeTrailer(data)
	}
	return content, n, err
}

// collect appends the start of data to line, up to and including the end of a line. It
// reports whether the line is complete.
func (c *Chunks) collect(data []byte, limit int) (n int, complete bool, err error) {
	n, complete = len(data), false
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		n, complete = i+1, true
	}
	if len(c.line)+n > limit {
		return 0, false, errTooLong
	}
	c.line = append(c.line, data[:n]...)
	return n, complete, nil
}

var errTooLong = errors.New("body: limit exceeded")

func (c *Chunks) takeSize(data []byte) (int, error) {
	n, complete, err := c.collect(data, maxChunkLine)
	if err != nil {
		return 0, ErrChunkLine
	}
	if !complete {
		return n, nil
	}
	size, ok := parseChunkSize(c.line)
	if !ok {
		return 0, ErrChunkSize
	}
	c.line = c.line[:0]
	c.left = size
	c.state = chunkContent
	if size == 0 {
		c.state = chunkTrailer
	}
	return n, nil
}

// parseChunkSize parses a chunk's line with its end. Only digits are accepted before
// the extensions: other receivers could read a sign or white space differently.
func parseChunkSize(line []byte) (size int64, ok bool) {
	line, ok = bytes.CutSuffix(line, crlf)
	if !ok || !heads.IsText(line) {
		return 0, false
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	for _, d := range digits {
		v, isHex := hexValue(d)
		if !isHex || size > maxChunkSize>>4 { // the next digit could exceed maxChunkSize
			return 0, false
		}
		size = size<<4 | v
	}
	return size, len(digits) > 0
}

// maxChunkSize bounds the stated size of one chunk. It is far above what any body may
// hold, and keeps sums of sizes from overflowing.
const maxChunkSize = 1 << 50

func hexValue(d byte) (int64, bool) {
	switch {
	case d >= '0' && d <= '9':
		return int64(d - '0'), true
	case d >= 'a' && d <= 'f':
		return int64(d-'a') + 10, true
	case d >= 'A' && d <= 'F':
		return int64(d-'A') + 10, true
	}
	return 0, false
}

func (c *Chunks) takeEnd(data []byte) (int, error) {
	n := min(len(data), len(crlf)-len(c.line))
	c.line = append(c.line, data[:n]...)
	if !bytes.HasPrefix(crlf, c.line) {
		return 0, ErrChunkEnd
	}
	if len(c.line) == len(crlf) {
		c.line = c.line[:0]
		c.state = chunkSize
	}
	return n, nil
}

// takeTrailer takes one line of the trailer. The body ends with an empty one.
func (c *Chunks) takeTrailer(data []byte) (int, error) {
	start := bytes.LastIndexByte(c.line, '\n') + 1
	n, complete, err := c.collect(data, maxTrailerBytes)
	if err != nil {
		return 0, ErrTrailer
	}
	if !complete {
		return n, nil
	}
	line, ok := bytes.CutSuffix(c.line[start:], crlf)
	if !ok {
		return 0, ErrTrailer
	}
	if len(line) == 0 {
		c.line = nil
		c.state = chunksDone
		return n, nil
	}
	if !heads.IsField(line) {
		return 0, ErrTrailer
	}
	return n, nil
}
