package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stalledWriter is a writer that blocks until unblock is closed.
type stalledWriter struct {
	entered chan struct{}
	unblock chan struct{}
	got     bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.unblock
	return s.got.Write(b)
}

// Guards against requests that stall because the reader of the log does not
// read: the pipe behind standard output is full, and lines were written by the
// goroutines that logged them.
func TestStalledWriterDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := &stalledWriter{entered: make(chan struct{}, 1), unblock: make(chan struct{})}
	a := NewAsync(w)
	_, _ = a.Write([]byte("first\n"))
	<-w.entered // the flush is blocked
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBufferBytes / len(line) {
		n, err := a.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(a.Dropped() > 0)
	close(w.unblock)
	a.Close()
	is.True(strings.Contains(w.got.String(), `"event":"lines-dropped"`))
	is.True(w.got.Len() < 2*maxBufferBytes)
}

// Guards against a process that does not end because the reader of its log has stalled.
func TestCloseDoesNotWaitForAStalledWriter(t *testing.T) {
	w := &stalledWriter{entered: make(chan struct{}, 1), unblock: make(chan struct{})}
	a := NewAsync(w)
	_, _ = a.Write([]byte("line\n"))
	<-w.entered // the flush is blocked
	a.Close()
	close(w.unblock)
}
