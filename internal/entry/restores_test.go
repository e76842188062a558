package entry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	restoreReplicas = 8
	// restoreSteps is the number of moments at which something may be written between two restores, restoreMaxStep the longest time between
	// two of them.
	restoreSteps   = 10
	restoreMaxStep = 500 * time.Millisecond
	// restoreRewrite is the longest time after the return of the store until the operator and the replicas have written again.
	restoreRewrite = time.Second
	// restoreStart is the time after its start for which a node isn't held to the bounds.
	restoreStart = 3 * time.Second
	// restoreSlack is added to the bounds for the time that the test itself takes.
	restoreSlack = 300 * time.Millisecond
)

// restoreRun writes configurations, drains and evacuations to a store that comes back from older copies again and again, and checks what the
// nodes make of it.
type restoreRun struct {
	c     *quicktest.C
	rng   *rand.Rand
	store *fakeStore
	zone  *testZone
	nodes []*restoreNode

	version int64
	written map[[2]string]any // What the operator and the replicas wrote last, by kind and name.
	// accepted holds when the store accepted what is to be in force; it is empty while the store is away and until all is written again.
	accepted map[[2]string]time.Time
	copies   []storeContent
}

// restoreNode is a node with what it has shown.
type restoreNode struct {
	*Node
	started time.Time
	version int64
	drained map[string]bool
}

func (r *restoreRun) start(firstRun bool) {
	n, _ := r.zone.start(firstRun)
	r.nodes = append(r.nodes, &restoreNode{Node: n, started: time.Now(), drained: map[string]bool{}})
}

func (r *restoreRun) write(kind, name string, spec any) {
	r.store.put(kind, name, spec)
	key := [2]string{kind, name}
	r.written[key], r.accepted[key] = spec, time.Now()
}

func (r *restoreRun) writeReplica(i int, state string) {
	id := fmt.Sprint("i-", i)
	r.write(platform.KindReplicas, id, map[string]any{"service": "s", "address": fmt.Sprintf("127.0.0.1:%d", i+1), "zone": "z", "state": state, "slots": 1, "born": 7, "sequence": 1})
}

func (r *restoreRun) writeConfig() {
	r.version += 1 + r.rng.Int64N(3)
	r.write(platform.KindConfig, platform.ConfigName, configSpec(r.version, "a"))
}

// pass lets time pass, in which the nodes are checked.
func (r *restoreRun) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range r.nodes {
			r.check(n)
		}
	}
}

func (r *restoreRun) check(n *restoreNode) {
	version := n.configVersion()
	r.c.Assert(version >= n.version, quicktest.IsTrue, quicktest.Commentf("%s went from version %d to %d", n.settings.Node, n.version, version))
	n.version = version
	view := n.registry.View()
	for id, replica := range view.Replicas {
		n.drained[id] = n.drained[id] || replica.Draining
	}
	usable := map[string]bool{}
	for _, replica := range view.ByService["s"] {
		usable[replica.ID] = true
		r.c.Assert(n.drained[replica.ID], quicktest.IsFalse, quicktest.Commentf("%s uses %s again", n.settings.Node, replica.ID))
	}
	if time.Since(n.started) < restoreStart {
		return
	}
	for key, at := range r.accepted {
		age := time.Since(at) - restoreSlack
		switch kind, name := key[0], key[1]; {
		case kind == platform.KindConfig && age > n.settings.Bounds.ConfigApply:
			r.c.Assert(version, quicktest.Equals, r.version, quicktest.Commentf("%s", n.settings.Node))
		case kind == platform.KindReplicas && age > n.settings.Bounds.Drain:
			draining := r.written[key].(map[string]any)["state"] == "draining"
			r.c.Assert(usable[name], quicktest.Equals, !draining, quicktest.Commentf("%s: %s, accepted %v ago", n.settings.Node, name, age))
		case kind == platform.KindEvacuations && age > n.settings.Bounds.Evacuate:
			r.c.Assert(view.Evacuated[name], quicktest.IsTrue, quicktest.Commentf("%s: %s", n.settings.Node, name))
		}
	}
}

// restore makes the store go away and come back from an older copy, in which what was written since is written again.
func (r *restoreRun) restore() {
	r.store.goAway()
	clear(r.accepted)
	r.pass(time.Duration(r.rng.Int64N(int64(time.Second))))
	r.store.restore(r.copies[r.rng.IntN(len(r.copies))])
	for key, spec := range maps.Clone(r.written) {
		r.pass(time.Duration(r.rng.Int64N(int64(restoreRewrite) / int64(len(r.written)))))
		r.write(key[0], key[1], spec)
	}
}

// Guards against configurations that aren't in force in time or go back to an older one, and against requests to replicas that have said
// that they drain, when the store comes back from older copies at any moment.
func TestStoreThatComesBackOlderAgainAndAgain(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := quicktest.New(t)
			store := newFakeStore()
			r := &restoreRun{c: c, rng: rand.New(rand.NewPCG(seed, 0)), store: store, zone: newZone(c, store), written: map[[2]string]any{}, accepted: map[[2]string]time.Time{}}
			for i := range restoreReplicas {
				r.writeReplica(i, "ready")
			}
			r.writeConfig()
			r.start(true)
			r.start(true)
			waitFor(c, 5*time.Second, func() bool { return r.nodes[0].ready() && r.nodes[1].ready() })
			drained := 0
			for i := range 3 {
				r.copies = nil
				for step := range restoreSteps {
					r.copies = append(r.copies, store.copy())
					if step >= restoreSteps-4 { // The copies are many revisions behind.
						for range 20 {
							store.put("other", "a", r.rng.Int())
						}
					}
					if r.rng.IntN(2) == 0 || step == restoreSteps-1 {
						r.writeConfig()
					}
					if r.rng.IntN(6) == 0 && drained < restoreReplicas-1 {
						r.writeReplica(drained, "draining")
						drained++
					}
					if r.rng.IntN(10) == 0 {
						r.write(platform.KindEvacuations, fmt.Sprint("zone-", r.rng.IntN(3)), struct{}{})
					}
					r.pass(time.Duration(r.rng.Int64N(int64(restoreMaxStep))))
				}
				r.restore()
				if i == 0 {
					r.start(false)
				}
			}
			r.writeConfig()
			r.pass(r.nodes[0].settings.Bounds.ConfigApply + 2*restoreSlack)
		})
	}
}
