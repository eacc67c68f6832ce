package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/link"
)

func TestDelayedConnectionKeepsOrderAndCloses(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.Copy(c, c) // echo until the peer closes
		c.Close()
	}()
	const latency = 5 * time.Millisecond
	d := link.Dialer{Latency: func(string) time.Duration { return latency }}
	start := time.Now()
	c, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	want := make([]byte, 100_000)
	for i := range want {
		want[i] = byte(i / 7)
	}
	_, err = c.Write(want)
	is.NoErr(err)
	got := make([]byte, len(want))
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.True(string(got) == string(want))
	is.True(time.Since(start) >= 4*latency) // one round trip for the dial and one for the echo
	is.NoErr(c.Close())
	_, err = c.Read(got)
	is.True(err != nil)
}
