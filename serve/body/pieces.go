package body

// Pieces collects a body whose length is not known. Unlike a slice that
// grows, it leaves no copies behind: a body without end would leave them faster than they
// are collected.
type Pieces struct {
	list [][]byte
	size int
}

// The capacity of pieces: each has that of all before it, within these limits.
const (
	minPiece = 1 << 10
	maxPiece = 256 << 10
)

// Size returns the bytes collected.
func (p *Pieces) Size() int { return p.size }

// Expect prepares for a body of a known length.
func (p *Pieces) Expect(length int) { p.list = [][]byte{make([]byte, 0, length)} }

// Add appends a copy of data.
func (p *Pieces) Add(data []byte) {
	p.size += len(data)
	if n := len(p.list); n > 0 {
		last := p.list[n-1]
		fits := min(len(data), cap(last)-len(last))
		p.list[n-1] = append(last, data[:fits]...)
		data = data[fits:]
	}
	if len(data) > 0 {
		next := make([]byte, 0, max(len(data), min(max(p.size, minPiece), maxPiece)))
		p.list = append(p.list, append(next, data...))
	}
}

// Join returns the whole body, nil if it is empty.
func (p *Pieces) Join() []byte {
	switch len(p.list) {
	case 0:
		return nil
	case 1:
		return p.list[0]
	}
	all := make([]byte, 0, p.size)
	for _, b := range p.list {
		all = append(all, b...)
	}
	return all
}
