package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// quick is well above what a piece takes on loopback, and well below no answer.
const quick = 2 * time.Second

// echoBehind starts a server that sends every line back, and returns a relay to
// it and a connection through it.
func echoBehind(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	r, err := New(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	conn, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return r, conn
}

// ask sends a line and returns how long its answer took.
func ask(t *testing.T, conn net.Conn, limit time.Duration) (time.Duration, error) {
	t.Helper()
	begun := time.Now()
	assert.NilError(t, conn.SetDeadline(begun.Add(limit)))
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		return 0, err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return time.Since(begun), err
}

func TestDelay(t *testing.T) {
	r, conn := echoBehind(t)
	r.SetDelay(100 * time.Millisecond)
	took, err := ask(t, conn, quick)
	assert.NilError(t, err)
	assert.Assert(t, took >= 200*time.Millisecond, "%v", took)
}

// TestHold keeps back one direction: what was sent arrives once it is let go.
func TestHold(t *testing.T) {
	for _, towards := range []bool{true, false} {
		r, conn := echoBehind(t)
		r.SetPaused(towards, !towards)
		_, err := ask(t, conn, 100*time.Millisecond)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
		r.SetPaused(false, false)
		_, err = ask(t, conn, quick)
		assert.NilError(t, err)
	}
}

func TestReset(t *testing.T) {
	r, conn := echoBehind(t)
	_, err := ask(t, conn, quick)
	assert.NilError(t, err)
	r.Reset()
	_, err = ask(t, conn, quick)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE), "%v", err)
}

func TestSilence(t *testing.T) {
	r, conn := echoBehind(t)
	_, err := ask(t, conn, quick)
	assert.NilError(t, err)
	r.SilenceOpen()
	_, err = ask(t, conn, 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.Equal(t, r.OpenCount(), 0)
}
