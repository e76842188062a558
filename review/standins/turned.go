package main

import "time"

// turnedCold makes the server of a service cold while it serves, without a restart. Without the disruption it stays warm. Rule FAILBACK
// bounds the requests that reach a cold server in one second.
func turnedCold(p *play) (bool, error) {
	server, err := p.beginWithOneServer(0, sheetPerS)
	if err != nil {
		return false, err
	}
	load := p.startLoad(700 * time.Millisecond)
	time.Sleep(8 * time.Second)
	if p.trouble {
		server.awaitBeat(100 * time.Millisecond)
		server.turnCold(coldTime(), 2*sheetPerS)
	}
	time.Sleep(6 * time.Second)
	load.end()
	most, at := server.mostWhileCold()
	return p.judgeCold(server, load, sheetPerS, most, at), nil
}
