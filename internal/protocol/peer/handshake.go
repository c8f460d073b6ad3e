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
	// nonceBytes is the length of each side's challenge, in bytes.
	nonceBytes = 32
	// handshakeTimeout bounds the exchange that opens a connection.
	handshakeTimeout = 3 * time.Second
	// writeTimeout bounds one write, so that a peer that stopped reading
	// cannot hold up every other call on the connection.
	writeTimeout = 5 * time.Second
)

// side tells whose proof it is. The two sides prove different things, so that
// neither can answer with what it was just sent.
type side string

const (
	clientSide side = "client"
	serverSide side = "server"
)

// challenge is the server's half of the handshake: it sends a nonce, checks the
// client's proof and proves that it knows the secret too. A client hands over
// prompts, so it has to know whom it talks to.
func challenge(conn net.Conn, secret string) error {
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(nonce); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	theirs, proof := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(proof, prove(secret, clientSide, nonce, theirs)) {
		return notSent("challenge", KindSecret, nil)
	}
	if _, err := conn.Write(prove(secret, serverSide, nonce, theirs)); err != nil {
		return notSent("challenge", KindNotSent, err)
	}
	return nil
}

// respond is the client's half of the handshake.
func respond(conn net.Conn, secret string) error {
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(nonce, prove(secret, clientSide, theirs, nonce)...)); err != nil {
		return notSent("handshake", KindNotSent, err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return notSent("handshake", KindSecret, err)
	}
	if !hmac.Equal(proof, prove(secret, serverSide, theirs, nonce)) {
		return notSent("handshake", KindSecret, nil)
	}
	return nil
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	if _, err := rand.Read(nonce); err != nil {
		return nil, notSent("nonce", KindNotSent, err)
	}
	return nonce, nil
}

func prove(secret string, by side, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte(by))
	_, _ = mac.Write(serverNonce)
	_, _ = mac.Write(clientNonce)
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
