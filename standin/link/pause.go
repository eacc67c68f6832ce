package link

import (
	"io"
	"time"
)

// PausingReader is a receiver that pauses each time that it has read so many bytes.
type PausingReader struct {
	From  io.Reader
	Every int // bytes
	Pause time.Duration

	read int // since the last pause
}

// Read implements io.Reader.
func (p *PausingReader) Read(b []byte) (int, error) {
	if p.read >= p.Every {
		time.Sleep(p.Pause)
		p.read = 0
	}
	n, err := p.From.Read(b)
	p.read += n
	return n, err
}
