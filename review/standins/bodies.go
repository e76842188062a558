package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bodyNodes   = 4
	bodyClients = 60
	// memoryCheckInterval is how often the platform compares the memory of a process with its limit.
	memoryCheckInterval = 20 * time.Millisecond
	restartDelay        = 300 * time.Millisecond
)

// largeBodies removes two of four machines for good while clients send orders with bodies of the greatest size that the config allows. A
// process that exceeds its memory is killed and started again. The rule on faults bounds how often processes may end by themselves.
func largeBodies(p *play) (bool, error) {
	zones := []string{"perth-a"}
	p.store.put("config", "main", config(7, []map[string]any{route("r-order", "/order/", "unsafe", "shop", 1)}, []map[string]any{service("shop", 0, 0)}))
	for i := range 3 {
		s := newReplica(p.store, p.record, fmt.Sprintf("i-02d9e6b%d", i), "shop", "perth-a", 60*time.Millisecond, 6, 0)
		if err := s.start(); err != nil {
			return false, err
		}
	}
	if err := p.begin(bodyNodes, zones); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // All directories then name all nodes.
	watch := &memoryWatch{play: p, removed: map[*node]bool{}, kills: map[*node]int{}, most: map[*node]int{}}
	stopWatch := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range p.nodes {
		watching.Go(func() { watch.run(n, stopWatch) })
	}

	stop, body := make(chan struct{}), make([]byte, maxBodyBytes)
	var answered, lost, refused, unreached atomic.Int64
	var clients sync.WaitGroup
	for i := range bodyClients {
		c := newClient(fmt.Sprintf("client-%d", i), "perth-a", p.nodes, p.record)
		clients.Go(func() {
			c.run(stop, call{method: "POST", path: "/order/2f", body: body}, 4*time.Second, 100*time.Millisecond, func(o outcome) {
				switch {
				case o.status == 200:
					answered.Add(1)
				case o.repeatable(false):
					refused.Add(1)
				case errors.Is(o.err, syscall.ECONNREFUSED):
					unreached.Add(1)
				default:
					lost.Add(1)
				}
			})
		})
	}
	time.Sleep(8 * time.Second)
	p.record.say("orders until then: %d answered, %d refused, %d found no process, %d sent and lost; most memory %s", answered.Load(), refused.Load(), unreached.Load(), lost.Load(), watch)
	if p.trouble {
		p.record.say("two machines are removed")
		for _, n := range p.nodes[2:] {
			watch.remove(n)
		}
	}
	time.Sleep(35 * time.Second)
	close(stop)
	clients.Wait()
	close(stopWatch)
	watching.Wait()
	p.record.say("orders in all: %d answered, %d refused, %d found no process, %d sent and lost", answered.Load(), refused.Load(), unreached.Load(), lost.Load())
	p.record.say("most memory and ends for want of it: %s", watch)
	often := 0
	for _, n := range p.nodes {
		if watch.kills[n] >= 3 {
			often++
		}
	}
	return often >= 2, errors.Join(watch.errs...)
}

// memoryWatch kills processes that exceed their memory, as the platform does, and starts them again.
type memoryWatch struct {
	play *play

	mu      sync.Mutex
	removed map[*node]bool
	kills   map[*node]int
	most    map[*node]int
	errs    []error
}

func (w *memoryWatch) run(n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		used := n.memoryMB()
		w.mu.Lock()
		w.most[n] = max(w.most[n], used)
		over := used > memoryLimitMB && !w.removed[n]
		if over {
			w.kills[n]++
		}
		w.mu.Unlock()
		if !over {
			continue
		}
		w.play.record.say("%s uses %d MB of %d: killed", n.name, used, memoryLimitMB)
		n.kill()
		time.Sleep(restartDelay)
		if err := w.play.restart(n); err != nil {
			w.mu.Lock()
			w.errs = append(w.errs, err)
			w.mu.Unlock()
			return
		}
	}
}

// remove takes a machine away for good.
func (w *memoryWatch) remove(n *node) {
	w.mu.Lock()
	w.removed[n] = true
	w.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

func (w *memoryWatch) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := ""
	for _, n := range w.play.nodes {
		text += fmt.Sprintf("%s %d MB, %d ends; ", n.name, w.most[n], w.kills[n])
	}
	return text
}
