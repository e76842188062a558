package node

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// forwardedCopies is how often the node that runs a forwarded request holds it: as read from the connection, in a buffer of up to twice
	// the size, and decoded.
	forwardedCopies = 3
	// headerBytes is what a decoded header takes beside its bytes.
	headerBytes = 128
)

// forwardedLoad bounds the bytes of large requests that this node has under way to each other node. Requests are in the other node's memory
// before it can refuse them, so every node keeps to its share of that node's room. It is safe for concurrent use.
type forwardedLoad struct {
	mu     sync.Mutex
	byNode map[string]int64
}

// take counts a request of the given size towards the load of a node, unless that exceeds the share. One request may always be under way.
func (f *forwardedLoad) take(node string, size, share int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if load := f.byNode[node]; load > 0 && load+size > share {
		return false
	}
	if f.byNode == nil {
		f.byNode = map[string]int64{}
	}
	f.byNode[node] += size
	return true
}

func (f *forwardedLoad) release(node string, size int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byNode[node] -= size; f.byNode[node] == 0 {
		delete(f.byNode, node)
	}
}

// startForward counts a request that is about to be forwarded. If ok is set, release must be called when it has ended.
func (n *Node) startForward(node string, req *schema.DispatchRequest) (release func(), ok bool) {
	size := int64(len(req.GetBody()))
	if size <= intake.SmallBytes {
		return func() {}, true
	}
	share := n.bounds().Bytes / forwardedCopies / int64(max(len(n.membership.Nodes()), 1))
	if !n.forwarded.take(node, size, share) {
		return nil, false
	}
	return func() { n.forwarded.release(node, size) }, true
}

// acceptForwarded reserves the memory of a request that another node has forwarded, until release is called.
func (n *Node) acceptForwarded(req *schema.DispatchRequest) (release func(), err error) {
	account, _ := n.intake.Open(intake.Peers, func(intake.Reason) {}) // Those of other nodes are never refused.
	if err := account.Grow(int64(proto.Size(req))*forwardedCopies + int64(len(req.GetHeaders()))*headerBytes); err != nil {
		account.Close()
		return nil, err
	}
	return account.Close, nil
}

func noRoomEnd(why string) *schema.DispatchEnd {
	return &schema.DispatchEnd{Code: int32(result.NoRoom), NotRun: true, Message: why, RetryAfterMs: intake.RetryAfter.Milliseconds()}
}
