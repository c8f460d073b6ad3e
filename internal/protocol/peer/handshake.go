package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

const (
	// nonceBytes is the length of the server's challenge, in bytes.
	nonceBytes = 32
	// handshakeTimeout bounds the exchange that opens a connection.
	handshakeTimeout = 3 * time.Second
	// writeTimeout bounds one write, so that a peer that stopped reading
	// cannot hold up every other call on the connection.
	writeTimeout = 5 * time.Second
)

// accepted is the byte that ends a successful handshake.
const accepted = 1

// challenge checks on the server's side that the client knows the secret.
func challenge(conn net.Conn, secret string) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	if _, err := conn.Write(nonce); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	if !hmac.Equal(proof, prove(secret, nonce)) {
		return notSent("challenge", KindSecret, nil)
	}
	_, err := conn.Write([]byte{accepted})
	return err
}

// respond answers the server's challenge on the client's side.
func respond(conn net.Conn, secret string) error {
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	if _, err := conn.Write(prove(secret, nonce)); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	verdict := make([]byte, 1)
	if _, err := io.ReadFull(conn, verdict); err != nil {
		return notSent("handshake", KindSecret, err)
	}
	return nil
}

func prove(secret string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// timedConn bounds every write.
type timedConn struct{ net.Conn }

// Write implements io.Writer.
func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
