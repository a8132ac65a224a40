// Package rawtarget starts targets for tests that decide about each byte on a connection,
// which net/http's servers do not allow.
package rawtarget

import (
	"net"
	"testing"
)

// Start starts a target on a loopback address that the test decides about: serve is called
// for each connection, which is closed when it returns. Start returns the target's address.
// The target accepts connections until the test ends.
func Start(t testing.TB, serve func(conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}
