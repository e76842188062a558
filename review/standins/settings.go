package main

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"
)

// movedStore moves the store to another address. The settings files name the new one and the processes get SIGHUP; the former address
// answers for some seconds longer. A later config takes a key away. Without the disruption the store stays where it is.
func movedStore(p *play) (bool, error) {
	const handover = 10 * time.Second
	routes := []map[string]any{route("r-order", "/order/", "unsafe", "shop", 1)}
	services := []map[string]any{service("shop", 0, 0)}
	first, second := config(7, routes, services), config(8, routes, services)
	first["tenants"] = []map[string]any{{"name": tenantName, "api_keys": []string{clientKey, "anfqasnmgkcuyj8pjbvk"}, "priority": 1}}
	second["tenants"] = []map[string]any{{"name": tenantName, "api_keys": []string{"anfqasnmgkcuyj8pjbvk"}, "priority": 1}}
	p.store.put("config", "main", first)
	server := newReplica(p.store, p.record, "i-02d9e6b4", "shop", "perth-a", 60*time.Millisecond, 6, 0)
	if err := server.start(); err != nil {
		return false, err
	}
	if err := p.begin(3, []string{"perth-a", "perth-b", "perth-c"}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	if p.trouble {
		newAddress := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.nodes[0].base+portInternal+internalPorts+1))
		if _, err := p.store.serve(newAddress); err != nil {
			return false, err
		}
		p.storeAt = newAddress
		var errs []error
		for _, n := range p.nodes {
			errs = append(errs, n.writeSettings(newAddress, false))
			n.signal(syscall.SIGHUP)
			time.Sleep(time.Second)
		}
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
		p.record.say("the settings files name the store at its new address")
		time.Sleep(handover)
		p.stopStore()
		p.record.say("the former address of the store is closed")
	}
	time.Sleep(4 * time.Second)
	p.store.put("config", "main", second)
	p.record.say("a config without the client's key is acknowledged")
	time.Sleep(8 * time.Second) // config_apply_ms and outer_ms, and a second more.
	c, ran := newClient("client", "perth-a", p.nodes, p.record), 0
	for _, n := range p.nodes {
		for range 3 {
			id, o := c.attempt(n.address(portFront), "POST", "/order/2f", []byte("one sheet"), 4*time.Second)
			server.mu.Lock()
			runs := server.runs[id]
			server.mu.Unlock()
			p.record.say("%s: status %d, runs %d", n.name, o.status, runs)
			ran += runs
		}
	}
	p.record.say("%d orders ran with a key that was taken away 8 s before", ran)
	return ran > 0, nil
}
