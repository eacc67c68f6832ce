// Package loopback chooses addresses for processes that a test starts.
package loopback

import (
	"fmt"
	"net"
	"os"
)

// IP returns a loopback address that no other process uses, for the n-th group of
// addresses of this one; n is at most 200. On 127.0.0.1 another process, or an outgoing
// connection, may take a port before the process that is to listen on it starts.
func IP(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+n), byte(pid>>8), byte(pid)).String()
}

// Free returns n different host:port addresses of ip that are free now.
func Free(ip string, n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("loopback: choose a port of %s: %w", ip, err)
		}
		defer l.Close() // all stay open until all are chosen, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}
