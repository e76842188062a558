package entry

import "github.com/sirupsen/logrus"

// learnEra records an era of the store that an answer of the store or of a mirror, or another node, has stated. A higher one than the
// known one means that the store has come back from an older copy; see platform.Store.Era. It is safe for concurrent use.
func (n *Node) learnEra(era int64) {
	n.mu.Lock()
	known := n.storeEra
	n.storeEra = max(known, era)
	n.mu.Unlock()
	if era <= known {
		return
	}
	n.store.LearnEra(era)
	if known == 0 {
		return // The first era that this process learns of says nothing about a restore.
	}
	n.log.WithFields(logrus.Fields{"era": era, "former_era": known}).Warning("the store has come back from an older copy")
	n.storeRestored(era)
}

// storeRestored tells all parts that rely on the store's contents that it has come back from an older copy. What was written after
// that copy is lost, also what was acknowledged, until its writers write it again; revisions of former eras mean nothing any more.
func (n *Node) storeRestored(era int64) {
	n.lease.StoreRestored(era)
}
