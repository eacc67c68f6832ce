package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEcho starts a server that returns each line.
func startEcho(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a line and reads it again.
func exchange(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func TestRelayIsCutAndRestored(t *testing.T) {
	for _, cut := range []Cut{CutHang, CutReset, CutRefuse} {
		t.Run(cut.String(), func(t *testing.T) {
			is := is.New(t)
			r, err := NewRelay("127.0.0.1:0", startEcho(t))
			is.NoErr(err)
			defer r.Close()
			for range 3 {
				c, err := net.Dial("tcp", r.Addr())
				is.NoErr(err)
				is.NoErr(exchange(c))
				is.NoErr(r.Cut(cut))

				_, err = net.DialTimeout("tcp", r.Addr(), 300*time.Millisecond)
				kept := exchange(c)
				switch cut {
				case CutHang:
					timeout, ok := errors.AsType[net.Error](err)
					is.True(ok && timeout.Timeout())
					is.True(errors.Is(kept, os.ErrDeadlineExceeded))
				case CutReset:
					is.True(errors.Is(err, syscall.ECONNREFUSED))
					is.True(kept != nil)
				case CutRefuse:
					is.True(errors.Is(err, syscall.ECONNREFUSED))
					is.NoErr(kept)
				}
				is.NoErr(c.Close())
				is.NoErr(r.Restore())
			}
		})
	}
}
