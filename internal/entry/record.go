package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/hostport"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	nodesKind = "cassiadeal-nodes"
	// registerTimeout bounds one attempt to write this node's record.
	registerTimeout = 1500 * time.Millisecond
	// recordInterval is the minimum time between two writes of a node's record after the first.
	recordInterval = time.Second
	// maxSavedCrashAge bounds the age of a crash in a record. Requests are refused for much less.
	maxSavedCrashAge = 24 * time.Hour
)

// nodeRecord is a node's record in the store, through which other nodes find it.
type nodeRecord struct {
	Zone        string `json:"zone"`
	Front       string `json:"front"`
	Peer        string `json:"peer"`
	Incarnation int64  `json:"incarnation"`
	// Crashes holds the crashes for which requests were refused when the record was written. Nodes tell each other of them, but
	// all nodes may end at once.
	Crashes []savedCrash `json:"crashes,omitempty"`
}

// savedCrash is a crash in a node's record. Its time is that of the day: no monotonic clock outlasts the process. If the time of
// day jumps, requests are refused for longer or shorter by as much.
type savedCrash struct {
	Fingerprint   string   `json:"fingerprint"`
	Parts         []string `json:"parts,omitempty"`
	Target        string   `json:"target"`
	Incarnation   string   `json:"incarnation"`
	Began         bool     `json:"began,omitempty"`
	CrashedUnixMs int64    `json:"crashed_unix_ms"`
}

// newRecord returns this node's record.
func (n *Node) newRecord() nodeRecord {
	record := nodeRecord{Zone: n.settings.Zone, Front: n.settings.Front, Peer: n.settings.Peer, Incarnation: n.incarnation}
	now := time.Now().UnixMilli()
	for _, r := range n.crashes.BlockingReports() {
		record.Crashes = append(record.Crashes, savedCrash{Fingerprint: r.Fingerprint, Parts: r.PartFingerprints, Target: r.Target,
			Incarnation: r.Incarnation, Began: r.Began, CrashedUnixMs: now - r.AgeMs})
	}
	return record
}

// applyRecord adds what a node's record says to what this node knows.
func (n *Node) applyRecord(record nodeRecord) {
	n.mesh.AddDestinations(record.Peer)
	now := time.Now().UnixMilli()
	for _, c := range record.Crashes {
		if c.CrashedUnixMs < now-maxSavedCrashAge.Milliseconds() {
			continue
		}
		n.crashes.Record(crash.Crash{Request: crash.Request{Fingerprint: c.Fingerprint, Parts: c.Parts}, Target: c.Target,
			Incarnation: c.Incarnation, Began: c.Began, Age: time.Duration(max(0, now-c.CrashedUnixMs)) * time.Millisecond})
	}
}

func (n *Node) applyNodes(list []platform.Object) {
	for _, o := range list {
		var record nodeRecord
		if o.Deleted {
			continue
		}
		if err := json.Unmarshal(o.Spec, &record); err != nil || hostport.Check(record.Peer) != nil {
			n.logUnreadable(o, err)
			continue
		}
		n.applyRecord(record)
	}
	n.nodesListed.Store(true)
}

// announceBlocked tells the other nodes, and nodes that start later, of a crash after which requests are refused. It doesn't
// block.
func (n *Node) announceBlocked() {
	n.mesh.SendNow()
	n.rewriteRecord()
}

// rewriteRecord makes this node's record be written anew. It doesn't block.
func (n *Node) rewriteRecord() {
	select {
	case n.recordOutdated <- struct{}{}:
	default: // A value that wasn't taken yet covers this call too, because the record is built after it is taken.
	}
}

// maintainRecord writes this node's record to the store, and again when requests are blocked or the store may have lost it.
func (n *Node) maintainRecord(ctx context.Context) {
	attempted := sync.OnceFunc(func() { close(n.registered) })
	create := n.settings.FirstRun
	for ctx.Err() == nil {
		err := n.writeRecord(ctx, create)
		attempted()
		if err != nil {
			n.log.WithError(err).Info("could not write this node's record to the store; retrying")
			sleep(ctx, fraction(n.settings.Bounds.ConfigApply, retryDelayFraction))
			continue
		}
		create = false
		sleep(ctx, recordInterval)
		select {
		case <-ctx.Done():
		case <-n.recordOutdated:
		}
	}
}

// writeRecord writes this node's record, which probably doesn't exist yet if create is true. What an earlier process of the node
// wrote there of crashes is kept.
func (n *Node) writeRecord(ctx context.Context, create bool) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if create {
		_, err := n.store.Create(ctx, nodesKind, n.settings.Node, n.newRecord())
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	old, err := n.store.Get(ctx, nodesKind, n.settings.Node)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = n.store.Create(ctx, nodesKind, n.settings.Node, n.newRecord())
		return err
	}
	if err != nil {
		return err
	}
	if old.Era < n.store.Era() {
		return platform.ErrFormerEra // The record may have another revision now, or the same one with other contents.
	}
	n.applyNodes([]platform.Object{old})
	_, err = n.store.Update(ctx, nodesKind, n.settings.Node, old.Revision, n.newRecord())
	return err
}
