// Command standins plays one case of the review: it starts the daemons of a small deployment as processes, with stand-ins for the
// platform, the servers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"time"
)

// play is the surroundings of one case.
type play struct {
	repository string
	dir        string // Temporary.
	record     *record
	store      *store
	storeAt    string
	stopStore  func()
	trouble    bool
	nodes      []*node
}

var cases = map[string]func(*play) (broken bool, err error){
	"cold": coldAfterRestart, "bodies": largeBodies, "late-beat": lateBeat, "turned-cold": turnedCold, "configs": manyConfigs,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{repository: filepath.Join(folder, "..", ".."), dir: dir, record: r, store: newStore(r), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, n := range p.nodes {
			n.kill()
		}
	}()
	r.say("case %s, with the disruption: %v", name, p.trouble)
	broken, err := cases[name](p)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return 2
	case broken:
		r.say("the rule was BROKEN")
		return 1
	}
	r.say("the rule held")
	return 0
}

// begin starts the store and the nodes, and waits until they are ready. The store must hold the config before.
func (p *play) begin(count int, zones []string) error {
	nodes, err := newNodes(p.record, p.dir, count, zones)
	if err != nil {
		return err
	}
	p.nodes = nodes
	p.storeAt = "127.0.0.1:" + strconv.Itoa(nodes[0].base+portInternal+internalPorts)
	if p.stopStore, err = p.store.serve(p.storeAt); err != nil {
		return err
	}
	for _, n := range nodes {
		if err := errors.Join(n.writeSettings(p.storeAt, true), n.start(p.repository)); err != nil {
			return err
		}
	}
	return awaitReady(nodes, 10*time.Second)
}

// restart starts a node again as the platform does after its end.
func (p *play) restart(n *node) error {
	return errors.Join(n.writeSettings(p.storeAt, false), n.start(p.repository))
}
