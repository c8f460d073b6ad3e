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
	// nonceBytes is the length of the nonce of each side, in bytes.
	nonceBytes = 32
	// handshakeTimeout limits the handshake that opens a connection.
	handshakeTimeout = 3 * time.Second
	// writeTimeout limits one write. Without it a peer that stops reading would
	// block all other calls on the connection.
	writeTimeout = 5 * time.Second
)

// side is the side of a connection whose proof is computed. Including it in the
// proof prevents a reflection attack, in which one side returns the proof that
// it has received from the other.
type side string

const (
	clientSide side = "client"
	serverSide side = "server"
)

// serverHandshake is the server's half of the handshake. It sends a nonce, checks
// the client's proof and proves that the server knows the secret too. The client
// needs this proof because it sends prompts.
func serverHandshake(conn net.Conn, secret string) error {
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(nonce); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	clientNonce, proof := response[:nonceBytes], response[nonceBytes:]
	if !hmac.Equal(proof, computeProof(secret, clientSide, nonce, clientNonce)) {
		return notSent("challenge", KindSecret, nil)
	}
	if _, err := conn.Write(computeProof(secret, serverSide, nonce, clientNonce)); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	return nil
}

// clientHandshake is the client's half of the handshake.
func clientHandshake(conn net.Conn, secret string) error {
	serverNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, serverNonce); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(nonce, computeProof(secret, clientSide, serverNonce, nonce)...)); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return notSent("handshake", KindSecret, err)
	}
	if !hmac.Equal(proof, computeProof(secret, serverSide, serverNonce, nonce)) {
		return notSent("handshake", KindSecret, nil)
	}
	return nil
}

// newNonce returns a random nonce, with capacity for a proof to be appended.
func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	if _, err := rand.Read(nonce); err != nil {
		return nil, notSent("nonce", KindNotSent, err)
	}
	return nonce, nil
}

// computeProof returns the HMAC of the side and both nonces, keyed with the
// secret.
func computeProof(secret string, by side, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte(by))
	_, _ = mac.Write(serverNonce)
	_, _ = mac.Write(clientNonce)
	return mac.Sum(nil)
}

// writeTimeoutConn applies writeTimeout to every write.
type writeTimeoutConn struct{ net.Conn }

// Write implements io.Writer.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
