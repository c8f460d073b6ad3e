// Package rawserver provides an HTTP server for tests that answers with bytes as they are
// given, so that the answer can be a broken one.
//
// # Usage
//
//	server, err := rawserver.Start(rawserver.Answer{Text: "HTTP/1.1 000 Broken\r\n\r\n"})
//	defer server.Close()
//	response, err := http.Get("http://" + server.Address().String())
package rawserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// receiveBuffer is the size of the receive buffers, in bytes. Small ones let the client
// write for as long as the server does not read.
const receiveBuffer = 4 << 10

// Answer is the answer to each request.
type Answer struct {
	Text string
	// ResetAfter is how long after the answer the connection is reset. The answer is sent
	// without reading the body of the request then; zero closes the connection in order.
	ResetAfter time.Duration
	// KeepOpen leaves the connection open for further requests.
	KeepOpen bool
}

// Server is an HTTP server. It serves one request on each connection, unless its answer
// leaves the connection open.
type Server struct {
	listener    net.Listener
	answer      Answer
	group       errgroup.Group
	connections atomic.Int64
}

// Start starts a server on a port of the loopback address.
func Start(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, answer: answer}
	s.group.Go(s.accept)
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Connections returns the number of connections so far.
func (s *Server) Connections() int64 { return s.connections.Load() }

// Close stops the server, once its connections have ended. It returns the first error of a
// connection that failed before its answer was written.
func (s *Server) Close() error { return errors.Join(s.listener.Close(), s.group.Wait()) }

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		s.connections.Add(1)
		s.group.Go(func() error { return s.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers requests and ends the connection.
func (s *Server) serve(conn *net.TCPConn) error {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for more := true; more; more = s.answer.KeepOpen {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		if s.answer.ResetAfter == 0 {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(conn, s.answer.Text); err != nil {
			return err
		}
	}
	if s.answer.ResetAfter > 0 {
		time.Sleep(s.answer.ResetAfter)
		return conn.SetLinger(0)
	}
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, reader)
	return nil
}
