package block

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
)

// endKeyword begins the last line of the text form. The text form has one block per
// line,
//
//	prefix region [domain[,domain]...]
//
// with fields separated by spaces or tabs. Empty lines and lines that begin
// with # are skipped. The last line is
//
//	end COUNT CHECKSUM
//
// where COUNT is the number of blocks and CHECKSUM the xxHash64 (seed 0), in
// 16 hexadecimal digits, of all bytes before that line. Without it, a file that was
// truncated at the end of a line would be accepted as a smaller table, and the
// clients of the missing blocks would be routed by the default.
const endKeyword = "end"

// maxLine is the maximum length of a line of a text source, in bytes.
const maxLine = 64 << 10

// textReader parses one text source.
type textReader struct {
	builder *Builder
	sum     *xxhash.Digest
	homes   map[string]HomeID // by the text after the prefix
	blocks  int
	endSeen bool
}

// Load builds a table from a text source. Its errors are *SourceError or
// *ConflictError and state the line.
func Load(r io.Reader, topology Topology) (*Table, error) {
	t := textReader{
		builder: NewBuilder(topology),
		sum:     xxhash.New(),
		homes:   make(map[string]HomeID),
	}
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLine), maxLine)
	s.Split(splitRawLines)
	for s.Scan() {
		t.builder.line++
		if err := t.parseLine(s.Bytes()); err != nil {
			return nil, &SourceError{Line: t.builder.line, Err: err}
		}
	}
	if err := t.checkComplete(s.Err()); err != nil {
		return nil, &SourceError{Line: t.builder.line + 1, Err: err}
	}
	return t.builder.Build()
}

// checkComplete returns an error unless the source was read without error up to
// its end line.
func (t *textReader) checkComplete(err error) error {
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: line exceeds %d bytes", ErrSyntax, maxLine)
	case err != nil:
		return err
	case !t.endSeen:
		return fmt.Errorf("%w: %q line is missing", ErrTruncated, endKeyword)
	}
	return nil
}

// splitRawLines splits like bufio.ScanLines but keeps the line endings, which are
// covered by the checksum.
func splitRawLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i+1], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}

func (t *textReader) parseLine(raw []byte) error {
	text := bytes.TrimSpace(raw)
	if t.endSeen && len(text) > 0 {
		return fmt.Errorf("%w: text after the %q line", ErrSyntax, endKeyword)
	}
	if word, rest, ok := cutField(text); ok && string(word) == endKeyword {
		return t.parseEndLine(rest)
	}
	// Digest.Write never fails.
	_, _ = t.sum.Write(raw)
	if len(text) == 0 || text[0] == '#' {
		return nil
	}
	return t.parseBlock(text)
}

// cutField splits text after its first field.
func cutField(text []byte) (field, rest []byte, ok bool) {
	i := bytes.IndexAny(text, " \t")
	if i < 0 {
		return text, nil, false
	}
	return text[:i], bytes.TrimLeft(text[i:], " \t"), true
}

func (t *textReader) parseBlock(text []byte) error {
	field, rest, ok := cutField(text)
	if !ok {
		return fmt.Errorf("%w: want \"prefix region [domain,...]\"", ErrSyntax)
	}
	p, err := netip.ParsePrefix(string(field))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPrefix, err)
	}
	id, known := t.homes[string(rest)]
	if !known {
		if id, err = t.homeID(string(rest)); err != nil {
			return err
		}
	}
	t.blocks++
	return t.builder.addBlock(p, id)
}

// homeID parses the text after a prefix and caches its HomeID.
func (t *textReader) homeID(text string) (HomeID, error) {
	h, err := parseHome(text)
	if err != nil {
		return 0, err
	}
	id, err := t.builder.homeID(h)
	if err != nil {
		return 0, err
	}
	t.homes[text] = id
	return id, nil
}

func parseHome(text string) (Home, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 || len(fields) > 2 {
		return Home{}, fmt.Errorf("%w: want \"prefix region [domain,...]\"", ErrSyntax)
	}
	h := Home{Region: fleet.Region(fields[0])}
	if len(fields) == 1 {
		return h, nil
	}
	for name := range strings.SplitSeq(fields[1], ",") {
		if name == "" {
			return Home{}, fmt.Errorf("%w: empty name in %q", ErrSyntax, fields[1])
		}
		h.Domains = append(h.Domains, fleet.Domain(name))
	}
	return h, nil
}

// parseEndLine checks the count and checksum of the end line against the lines
// read so far.
func (t *textReader) parseEndLine(rest []byte) error {
	fields := bytes.Fields(rest)
	if len(fields) != 2 {
		return fmt.Errorf("%w: want \"%s COUNT CHECKSUM\"", ErrSyntax, endKeyword)
	}
	count, err := strconv.Atoi(string(fields[0]))
	if err != nil {
		return fmt.Errorf("%w: block count %q is not a number", ErrSyntax, fields[0])
	}
	sum, err := strconv.ParseUint(string(fields[1]), 16, 64)
	if err != nil {
		return fmt.Errorf("%w: checksum %q is not a 64-bit hexadecimal number", ErrSyntax, fields[1])
	}
	if count != t.blocks {
		return fmt.Errorf("%w: source has %d blocks, the %q line states %d", ErrTruncated, t.blocks, endKeyword, count)
	}
	if got := t.sum.Sum64(); got != sum {
		return fmt.Errorf("%w: source has checksum %016x, the %q line states %016x", ErrTruncated, got, endKeyword, sum)
	}
	t.endSeen = true
	return nil
}

// Write writes t to w in the text form, in the order of Table.All.
func Write(w io.Writer, t *Table) error {
	sum := xxhash.New()
	out := bufio.NewWriter(io.MultiWriter(w, sum))
	texts := make([]string, t.Homes())
	for i := range texts {
		texts[i] = strings.TrimSpace(homeText(t.Home(HomeID(i))))
	}
	var line []byte
	for p, id := range t.All() {
		line = p.AppendTo(line[:0])
		line = append(line, ' ')
		line = append(line, texts[id]...)
		line = append(line, '\n')
		if _, err := out.Write(line); err != nil {
			return fmt.Errorf("block: write table: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("block: write table: %w", err)
	}
	if _, err := fmt.Fprintf(w, "%s %d %016x\n", endKeyword, t.Len(), sum.Sum64()); err != nil {
		return fmt.Errorf("block: write table: %w", err)
	}
	return nil
}
