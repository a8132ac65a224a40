package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	nonceBytes       = 16
	handshakeTimeout = time.Second
)

// authenticateClient is the server's side of the handshake: it sends a nonce and expects
// the nonce's HMAC under the shared secret. It fails with ErrUnauthorized.
func authenticateClient(conn net.Conn, secret string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if _, err := conn.Write(nonce); err != nil {
		return protocol.ErrUnauthorized.Wrap(err, "send nonce")
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return protocol.ErrUnauthorized.Wrap(err, "read proof")
	}
	if !hmac.Equal(answer, computeProof(nonce, secret)) {
		return protocol.ErrUnauthorized.New("peer has another secret")
	}
	return nil
}

// authenticateToServer is the client's side of the handshake.
func authenticateToServer(conn net.Conn, secret string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return protocol.ErrNotSent.Wrap(err, "read nonce")
	}
	if _, err := conn.Write(computeProof(nonce, secret)); err != nil {
		return protocol.ErrNotSent.Wrap(err, "send proof")
	}
	return nil
}

func computeProof(nonce []byte, secret string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// equalSecrets compares in constant time.
func equalSecrets(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
