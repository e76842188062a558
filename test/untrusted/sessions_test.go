package untrusted

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// smallReceiveBuffer keeps the kernel from taking answers that a client doesn't read.
	smallReceiveBuffer = 4 << 10
	// smallBodyBytes is the size of bodies that count as small requests.
	smallBodyBytes = 48 << 10
	// responseTimeout bounds the wait of a client for an answer that it needs before it goes on.
	responseTimeout = 10 * time.Second
)

// crowd is a number of clients that each open connections and behave in the same way on each of them.
type crowd struct {
	name    string
	clients int
	session func(s *session) error
}

// session is one connection of a client of a crowd.
type session struct {
	*clients
	node *node
	conn *net.TCPConn
}

// crowds behave in ways that need more than one message, or a target that is slow or sends large answers.
var crowds = []crowd{
	{"many names whole bodies", 300, func(s *session) error {
		head := s.node.head(manyNames, fmt.Sprintf("Content-Length: %d\r\n", s.node.bodyBytes), true)
		return s.sendThenRead(head, make([]byte, s.node.bodyBytes))
	}},
	{"many names whole bodies slow target", 300, func(s *session) error {
		return s.sendThenRead(s.node.at("slow").head(manyNames, fmt.Sprintf("Content-Length: %d\r\n", s.node.bodyBytes), true), make([]byte, s.node.bodyBytes))
	}},
	{"announced bodies one byte short", 100, func(s *session) error {
		if _, err := s.conn.Write(s.node.request(s.node.method, s.node.path, "Expect: 100-continue\r\n", s.node.bodyBytes)); err != nil {
			return err
		}
		if err := s.readHead(); err != nil {
			return err
		}
		return s.sendThenRead(make([]byte, s.node.bodyBytes-1))
	}},
	{"options then head without end", 100, func(s *session) error {
		if _, err := fmt.Fprintf(s.conn, "OPTIONS * HTTP/1.1\r\nHost: %s\r\n\r\n", clientHost); err != nil {
			return err
		}
		if err := s.readHead(); err != nil {
			return err
		}
		return s.sendEndlessHead(s.node.head(manyNames, "", false))
	}},
	{"head without end behind a whole request", 100, func(s *session) error {
		first := s.node.request("GET", s.node.path, "", 0)
		if _, err := s.conn.Write(append(first, s.node.head(oneLine, "", false)...)); err != nil {
			return err
		}
		if err := s.readHead(); err != nil {
			return err
		}
		return s.sendEndlessHead(nil)
	}},
	{"whole bodies slow target", 100, func(s *session) error {
		return s.sendThenRead(s.node.request(s.node.method, s.node.at("slow").path, "", s.node.bodyBytes), make([]byte, s.node.bodyBytes))
	}},
	{"small bodies slow target", 600, func(s *session) error {
		return s.sendThenRead(s.node.request(s.node.method, s.node.at("slow").path, "", smallBodyBytes), make([]byte, smallBodyBytes))
	}},
	{"large answers unread", 300, func(s *session) error { return s.sendUnread(s.node.request("GET", s.node.at("large").path, "", 0)) }},
	{"large answers unread and bodies one byte short", 300, func(s *session) error {
		if s.conn.LocalAddr().(*net.TCPAddr).Port%2 == 0 {
			return s.sendUnread(s.node.request("GET", s.node.at("large").path, "", 0))
		}
		return s.sendThenRead(s.node.request(s.node.method, s.node.path, "", s.node.bodyBytes), make([]byte, s.node.bodyBytes-1))
	}},
	{"requests that are reset", 300, func(s *session) error {
		_, err := s.conn.Write(s.node.request(s.node.method, s.node.at("slow").path, "", smallBodyBytes))
		if err == nil {
			_, err = s.conn.Write(make([]byte, smallBodyBytes))
		}
		_ = s.conn.SetLinger(0) // An error means that the connection is closed.
		return err
	}},
	{"long paths without a route", 600, func(s *session) error {
		return s.sendThenRead(s.node.request("GET", s.node.unknownPath(), "", 0))
	}},
	{"long request ids", 600, func(s *session) error {
		id := strings.Repeat("<", s.node.headBytes*9/10)
		return s.sendThenRead(s.node.request("GET", s.node.path, headerName+"Request-Id: "+id+"\r\n", 0))
	}},
}

// descriptorCrowds have more clients than the machine has descriptors for.
var descriptorCrowds = []crowd{
	{"refusals unread", 400, func(s *session) error {
		request := fmt.Appendf(nil, "GET /nowhere HTTP/1.1\r\nHost: %s\r\n\r\n", clientHost)
		return s.sendUnread(bytes.Repeat(request, 512))
	}},
	{"long refusals unread", 400, func(s *session) error { return s.sendUnread(s.node.request("GET", s.node.unknownPath(), "", 0)) }},
	{"answers unread", 400, func(s *session) error {
		return s.sendUnread(bytes.Repeat(s.node.request("GET", s.node.path, "", 0), 64))
	}},
	{"whole requests slow target", 400, func(s *session) error {
		return s.sendThenRead(s.node.request("GET", s.node.at("slow").path, "", 0))
	}},
	{"options then nothing", 400, func(s *session) error {
		return s.sendThenRead(fmt.Appendf(nil, "OPTIONS * HTTP/1.1\r\nHost: %s\r\n\r\n", clientHost))
	}},
}

// Guards against clients that exhaust the memory of a machine by what they send after an answer, or by what the node makes of whole requests
// and of answers.
func TestPlatformNodeStaysWithinItsMemoryBesideCrowds(t *testing.T) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, startPlatformNode(t, platformMaxFDs), c) })
	}
}

// Guards against the same on the product's own interface.
func TestOwnNodeStaysWithinItsMemoryBesideCrowds(t *testing.T) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, startOwnNodes(t, 1, 0), c) })
	}
}

// Guards against requests that exhaust the memory of the node that their targets belong to, which isn't the one that received them.
func TestOwnNodesStayWithinTheirMemoryBesideForwardedRequests(t *testing.T) {
	for _, c := range crowds {
		if strings.Contains(c.name, "slow target") {
			t.Run(c.name, func(t *testing.T) { checkCrowd(t, startOwnNodes(t, 2, 0), c) })
		}
	}
	t.Run("whole bodies slow target five nodes", func(t *testing.T) {
		checkCrowd(t, startOwnNodes(t, 5, 0), crowd{"whole bodies", 500, func(s *session) error {
			return s.sendThenRead(s.node.request(s.node.method, s.node.at("slow").path, "", s.node.bodyBytes), make([]byte, s.node.bodyBytes))
		}})
	})
}

// Guards against clients that keep all connections of a machine, so that nobody else gets one.
func TestPlatformNodeStaysWithinItsDescriptorsBesideCrowds(t *testing.T) {
	for _, c := range descriptorCrowds {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, startPlatformNode(t, smallMaxFDs), c) })
	}
}

// Guards against the same on the product's own interface.
func TestOwnNodeStaysWithinItsDescriptorsBesideCrowds(t *testing.T) {
	for _, c := range descriptorCrowds {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, startOwnNodes(t, 1, smallMaxFDs), c) })
	}
}

// Guards against bounds that don't hold while the configuration changes and the store is away.
func TestPlatformNodeStaysWithinItsMemoryWhileItsConfigurationChanges(t *testing.T) {
	n := startPlatformNode(t, platformMaxFDs)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for version := 2; ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				n.store.setAway(version%60 >= 40)
				n.store.put("config", "main", platformConfig(version))
			}
		}
	}()
	checkCrowd(t, n, crowd{"bodies one byte short", 100, func(s *session) error {
		return s.sendThenRead(s.node.request(s.node.method, s.node.path, "", s.node.bodyBytes), make([]byte, s.node.bodyBytes-1))
	}})
}

// Guards against requests that take the memory that the control plane of a large deployment needs.
func TestPlatformNodeOfALargeDeploymentStaysWithinItsMemory(t *testing.T) {
	const routes, replicas = 6000, 3000
	for _, c := range crowds {
		if !strings.Contains(c.name, "bodies") && !strings.Contains(c.name, "large answers") {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			s, config := newStore(), platformConfig(1)
			for i := range replicas {
				s.put("servers", fmt.Sprintf("idle-replica-%d", i), map[string]any{"service": "idle", "address": fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1), "zone": "zone-a", "version": "v1",
					"slots": 16, "state": "draining", "sequence": 1, "born": 1})
			}
			config["services"] = append(config["services"].([]any), map[string]any{"name": "idle", "health_path": "/health", "max_connections": 384, "protocol": "h1"})
			for i := range routes {
				config["routes"] = append(config["routes"].([]any), map[string]any{"name": fmt.Sprintf("idle-%d", i), "host": fmt.Sprintf("host-%d.example", i), "path_prefix": "/look/",
					"type": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "service": "idle", "max_attempts": 2})
			}
			checkCrowd(t, startPlatformNodeWith(t, platformMaxFDs, s, config), c)
		})
	}
}

// Guards against clients that keep a node from ending after SIGTERM.
func TestNodesEndBesideCrowds(t *testing.T) {
	stay := crowd{"all kinds", 300, func(s *session) error {
		switch s.conn.LocalAddr().(*net.TCPAddr).Port / 2 % 4 {
		case 0:
			return s.sendThenRead(s.node.request(s.node.method, s.node.path, "", s.node.bodyBytes), make([]byte, s.node.bodyBytes-1))
		case 1:
			return s.sendThenRead(s.node.head(manyNames, "", false))
		case 2:
			return s.sendUnread(bytes.Repeat(s.node.request("GET", s.node.path, "", 0), 64))
		}
		return s.sendThenRead(s.node.request(s.node.method, s.node.at("slow").path, "", smallBodyBytes), make([]byte, smallBodyBytes))
	}}
	for name, start := range map[string]func() *node{
		"platform": func() *node { return startPlatformNode(t, platformMaxFDs) }, "own": func() *node { return startOwnNodes(t, 1, 0) }} {
		t.Run(name, func(t *testing.T) {
			n := start()
			checkCrowd(t, n, stay)
			n.processes[0].Terminate()
			if code := n.processes[0].WaitExit(startTimeout); code != 0 {
				t.Errorf("exit code %d, want 0", code)
			}
		})
	}
}

// checkCrowd is checkLoad for a crowd.
func checkCrowd(t *testing.T, n *node, c crowd) {
	t.Helper()
	checkClients(t, n, c.name, func() { startCrowd(t, n, c) })
}

// startCrowd starts the clients of a crowd. Half of them use the first listener, and the others are spread over the rest.
func startCrowd(t *testing.T, n *node, crowd crowd) {
	t.Helper()
	startConnecting(t, n, crowd.clients, func(c *clients, conn net.Conn) error {
		return crowd.session(&session{c, n, conn.(*net.TCPConn)})
	})
}

// at returns the node with another kind of target: one that answers late ("slow") or with a large body ("large").
func (n *node) at(target string) *node {
	other := *n
	other.path = strings.TrimSuffix(n.path, "1") + target
	return &other
}

// request returns the head of a request with a body of the given size.
func (n *node) request(method, path, extra string, body int) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%sContent-Length: %d\r\n\r\n", method, path, clientHost, n.headerText, extra, body)
}

var unknownPaths atomic.Int64

// unknownPath returns a path of legal size that no request has had yet, and that leads nowhere.
func (n *node) unknownPath() string {
	prefix := fmt.Sprintf("%s%d-", n.unknownPrefix, unknownPaths.Add(1))
	return prefix + strings.Repeat("\xc3", n.headBytes*9/10-len(prefix))
}

func oneLine(b *bytes.Buffer, _ int) { b.WriteString("a: " + strings.Repeat("b", 200) + "\r\n") }

// sendThenRead sends the parts, and reads slowly until the server closes the connection.
func (s *session) sendThenRead(parts ...[]byte) error {
	for _, p := range parts {
		if _, err := s.conn.Write(p); err != nil {
			return err
		}
	}
	return s.readSlowly(s.conn)
}

// sendUnread sends the same requests until the server takes no more, or the load ends, and reads nothing.
func (s *session) sendUnread(requests []byte) error {
	if err := s.conn.SetReadBuffer(smallReceiveBuffer); err != nil {
		return err
	}
	for {
		if _, err := s.conn.Write(requests); err != nil {
			return err
		}
		s.pause(piecePause)
	}
}

func (s *session) sendEndlessHead(start []byte) error {
	lines := fill(manyNames, 64<<10)
	if _, err := s.conn.Write(start); err != nil {
		return err
	}
	for sent := 0; sent < endlessBytes; sent += len(lines) {
		if _, err := s.conn.Write(lines); err != nil {
			return err
		}
	}
	return s.readSlowly(s.conn)
}

// readHead reads up to the end of the head of an answer.
func (s *session) readHead() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return err
	}
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }() // An error shows at the next read.
	var read []byte
	for buffer := make([]byte, 512); !bytes.Contains(read, []byte("\r\n\r\n")); {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return err
		}
		read = append(read, buffer[:n]...)
	}
	return nil
}
