// Package endless holds servers that answer requests with bytes without end, as faulty targets do.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// blockBytes is the least size of one write.
const blockBytes = 4096

// Answer is a form of an answer without end: a start, and a text that is repeated until the caller closes the connection.
type Answer struct{ Name, Start, Repeated string }

// Server answers each request with an Answer.
type Server struct {
	Address string

	listener net.Listener
	requests atomic.Int64
	mu       sync.Mutex
	open     map[net.Conn]bool // Whether a request is being answered; nil once the server is closed.
	bodies   []string          // Of the requests so far, as far as they were sent whole.
}

// Start starts a server on loopback.
func Start(a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), listener: l, open: map[net.Conn]bool{}}
	block := []byte(strings.Repeat(a.Repeated, 1+blockBytes/len(a.Repeated)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // The server is closed.
			}
			go s.answer(conn, a.Start, block)
		}
	}()
	return s, nil
}

func (s *Server) answer(conn net.Conn, start string, block []byte) {
	if !s.add(conn, false) {
		return
	}
	defer s.remove(conn)
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if body, err := io.ReadAll(req.Body); err == nil {
		s.noteBody(string(body))
	}
	s.add(conn, true)
	_, err = conn.Write([]byte(start))
	for err == nil {
		_, err = conn.Write(block)
	}
}

func (s *Server) noteBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies = append(s.bodies, body)
}

// Received reports whether a request came whose body contains the text.
func (s *Server) Received(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.bodies, func(body string) bool { return strings.Contains(body, text) })
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Open returns the number of connections on which requests are still being answered, as callers haven't closed them.
func (s *Server) Open() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answering := range s.open {
		if answering {
			count++
		}
	}
	return count
}

// add adds or changes a connection. It reports whether the server is open.
func (s *Server) add(conn net.Conn, answering bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		conn.Close()
		return false
	}
	s.open[conn] = answering
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	conn.Close()
}

// Close closes the server and its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.Close()
	}
	s.open = nil
}
