package untrusted

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// loadTime is how long the clients open connections; those that are open then stay open until the ordinary request is answered.
	loadTime = 4 * time.Second
	// reconnectPause is the time after which a client whose connection was closed opens the next one.
	reconnectPause = 100 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// pieceBytes and piecePause are the size of the pieces of a message that is sent in pieces, and the time between two.
	pieceBytes = 16 << 10
	piecePause = 2 * time.Millisecond
	// endlessBytes ends messages without end. It is several times the limit of 1 MB that net/http has by default.
	endlessBytes = 4 << 20
)

// load is what each of a number of clients sends on a connection. The connection stays open afterwards.
type load struct {
	name    string
	clients int
	pieces  bool // Send in pieces.
	message func(n *node) message
}

// message is a head and what follows it; the latter is repeated until endless bytes are sent if that isn't 0.
type message struct {
	head, body []byte
	endless    int
}

// loads are the client loads of docs/demand-and-clients.md.
var loads = []load{
	{"short lines, unfinished", 600, false, func(n *node) message { return message{head: n.head(shortLines, "", false)} }},
	{"odd lines, unfinished", 600, false, func(n *node) message { return message{head: n.head(oddLines, "", false)} }},
	{"short lines, whole", 600, false, func(n *node) message { return message{head: n.head(shortLines, "", true)} }},
	{"many names, then a body without end", 600, false, func(n *node) message {
		return message{head: n.head(manyNames, "Transfer-Encoding: chunked\r\n", true), body: []byte("1\r\nx\r\n")}
	}},
	{"head over the limit, without end", 100, false, func(n *node) message {
		return message{head: n.head(manyNames, "", false), body: fill(manyNames, 64<<10), endless: endlessBytes}
	}},
	{"empty lines without end", 300, false, func(*node) message {
		return message{body: bytes.Repeat([]byte("\r\n"), 8<<10), endless: endlessBytes}
	}},
	{"bodies, whole", 100, false, func(n *node) message { return n.bodyMessage(0) }},
	{"bodies, one byte short", 100, false, func(n *node) message { return n.bodyMessage(1) }},
	{"bodies in pieces, one byte short", 100, true, func(n *node) message { return n.bodyMessage(1) }},
	{"stated bodies that don't come", 600, false, func(n *node) message { return n.bodyMessage(n.bodyBytes) }},
}

// Kinds of header lines.
func shortLines(b *bytes.Buffer, _ int) { b.WriteString("a:\r\n") }
func manyNames(b *bytes.Buffer, i int)  { fmt.Fprintf(b, "%x:\r\n", i) }
func oddLines(b *bytes.Buffer, i int)   { fmt.Fprintf(b, "%c-%x: \t\x80,;=\"\r\n", 'a'+i%26, i) }
func fill(line func(*bytes.Buffer, int), size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		line(&b, i)
	}
	return b.Bytes()
}

// head returns a request head of legal size that is filled with header lines.
func (n *node) head(line func(*bytes.Buffer, int), extra string, whole bool) []byte {
	const reserve = 64 // For the last line, and the blank line.
	start := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s", n.method, n.path, clientHost, n.headerText, extra)
	head := append([]byte(start), fill(line, n.headBytes-len(start)-reserve)...)
	if whole {
		head = append(head, "\r\n"...)
	}
	return head
}

// bodyMessage returns a request with a body of the greatest legal size, of which the last bytes are missing.
func (n *node) bodyMessage(missing int) message {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", n.method, n.path, clientHost, n.headerText, n.bodyBytes)
	return message{head: []byte(head), body: make([]byte, n.bodyBytes-missing)}
}

// clients is a running load.
type clients struct {
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startClients starts the clients of a load.
func startClients(t *testing.T, n *node, l load) {
	t.Helper()
	m := l.message(n)
	startConnecting(t, n, l.clients, func(c *clients, conn net.Conn) error {
		if err := c.send(conn, m, l.pieces); err != nil {
			return err
		}
		return c.readSlowly(conn)
	})
}

// startConnecting starts clients that each open one connection after the other for loadTime and behave as told on each of them. Half of
// them use the first listener, and the others are spread over the rest.
func startConnecting(t *testing.T, n *node, count int, behave func(*clients, net.Conn) error) {
	t.Helper()
	c := &clients{stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	end := time.Now().Add(loadTime)
	for i := range count {
		address := n.listeners[0]
		if i%2 == 1 {
			address = n.listeners[1+i/2%(len(n.listeners)-1)]
		}
		c.done.Go(func() {
			for time.Now().Before(end) {
				c.connect(address, behave)
				c.pause(reconnectPause)
			}
		})
	}
	t.Cleanup(c.close)
}

func (c *clients) pause(d time.Duration) {
	select {
	case <-c.stop:
	case <-time.After(d):
	}
}

// connect behaves as told on a new connection. Its errors mean that the server has closed the connection or that the load ends.
func (c *clients) connect(address string, behave func(*clients, net.Conn) error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return // The next connection may be accepted.
	}
	defer conn.Close()
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	_ = behave(c, conn)
}

// readSlowly reads what the server answers, slowly, until it closes the connection.
func (c *clients) readSlowly(conn net.Conn) error {
	for buffer := make([]byte, 512); ; c.pause(piecePause) {
		if _, err := conn.Read(buffer); err != nil {
			return err
		}
	}
}

func (c *clients) send(conn net.Conn, m message, pieces bool) error {
	if _, err := conn.Write(m.head); err != nil {
		return err
	}
	if !pieces {
		_, err := conn.Write(m.body)
		for sent := len(m.body); err == nil && sent < m.endless; sent += len(m.body) {
			_, err = conn.Write(m.body)
		}
		return err
	}
	for rest := m.body; len(rest) > 0; c.pause(piecePause) {
		size := min(len(rest), pieceBytes)
		if _, err := conn.Write(rest[:size]); err != nil {
			return err
		}
		rest = rest[size:]
	}
	return nil
}

// close ends all clients. It may be called more than once.
func (c *clients) close() {
	c.mu.Lock()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	for conn := range c.conns {
		_ = conn.Close() // It may be closed already.
	}
	c.mu.Unlock()
	c.done.Wait()
}
