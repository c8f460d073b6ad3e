package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/internal/state/faults"
)

// acceptRetryInterval is the pause after a connection could not be accepted for lack of
// file descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// defaultStopTimeout is how long a server that stops waits for its calls and answers
// unless another time is set. A write to a client that does not read ends after it too.
const defaultStopTimeout = writeTimeout

// Server serves the methods of one receiver to clients that know the secret.
type Server struct {
	// Limits bounds the requests of clients. It must be set before Serve is called.
	Limits MessageLimits
	// Faults records panics while messages are read.
	Faults *faults.Recorder
	// StopTimeout is how long a server that stops waits for the calls that it has read and
	// for their answers to be sent; zero means defaultStopTimeout.
	StopTimeout time.Duration
	// MaxHandshakes is the maximum number of connections whose client has not authenticated
	// itself; one more closes the oldest. Zero means no limit.
	MaxHandshakes int

	secret string
	rpc    *rpc.Server
	group  errgroup.Group
	mu     sync.Mutex
	conns  map[*servedConn]struct{}
	// handshakes are the connections whose client has not authenticated itself, the oldest one
	// first.
	handshakes []*servedConn
	closed     bool
}

// NewServer returns a server for a receiver whose methods follow the rules of
// net/rpc.
func NewServer(secret string, receiver any) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return nil, &Error{Op: "register", Kind: KindRemote, Err: err}
	}
	return &Server{secret: secret, rpc: server, conns: make(map[*servedConn]struct{})}, nil
}

// Serve accepts connections until ctx ends or the listener fails. Then it reads no
// further calls, closes each connection once the answers of those that it has read are
// sent, or after StopTimeout, and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if err != nil {
			s.stopConns()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &Error{Op: "accept", Kind: KindRemote, Err: err}
		}
		served := &servedConn{Conn: conn}
		if !s.track(served) {
			_ = conn.Close()
			continue
		}
		s.group.Go(func() error {
			s.Faults.Run("peer-connection", func() { s.serveConn(served) })
			return nil
		})
	}
}

// Close closes all connections at once, as a crash would.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Conn.Close()
	}
}

// stopConns stops reading from all connections and waits until they are closed.
func (s *Server) stopConns() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.stop()
	}
	s.mu.Unlock()
	timeout := s.StopTimeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	timer := time.AfterFunc(timeout, s.Close)
	defer timer.Stop()
	_ = s.group.Wait()
}

// serveConn authenticates the client and serves its calls until the connection is
// closed.
func (s *Server) serveConn(conn *servedConn) {
	defer func() { _ = conn.Conn.Close() }()
	defer s.untrack(conn)
	err := conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err == nil {
		err = serverHandshake(conn, s.secret)
	}
	s.endHandshake(conn)
	if err != nil {
		return
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	codec := newCodec(writeTimeoutConn{conn}, s.Limits, s.Faults)
	codec.reader.abort = conn.abort
	s.rpc.ServeCodec(codec)
}

// track stores an open connection. It returns false if the server is closed.
func (s *Server) track(conn *servedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.handshakes = append(s.handshakes, conn)
	if s.MaxHandshakes > 0 && len(s.handshakes) > s.MaxHandshakes {
		_ = s.handshakes[0].Conn.Close()
		s.handshakes = slices.Delete(s.handshakes, 0, 1)
	}
	return true
}

// endHandshake records that a client has authenticated itself, or failed to.
func (s *Server) endHandshake(conn *servedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.handshakes, conn); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
}

func (s *Server) untrack(conn *servedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
