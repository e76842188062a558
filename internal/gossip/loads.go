package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// minListLength is the length down to which lists are shortened in a message that is larger than a datagram may be.
const minListLength = 8

// SetLoadReceivers sets the addresses that get the loads of failure domains, and how often. All get them in all datagrams if it is nil. It
// replaces the addresses of the last call.
func (m *Mesh) SetLoadReceivers(receivers map[string]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadReceivers = receivers
}

// byContent divides addresses by what they get of the loads of failure domains, and marks those that get some.
func (m *Mesh) byContent(addresses []string) (all, others, own, none []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loadReceivers == nil {
		return addresses, nil, nil, nil
	}
	now := m.opt.Clock.Now()
	for _, a := range addresses {
		d, interval := m.destinations[a], m.loadReceivers[a]
		switch {
		case d == nil || interval == 0 || now.Sub(d.lastLoads) < interval-Interval/2:
			none = append(none, a)
			continue
		case d.zone == m.opt.Zone:
			others = append(others, a)
		default:
			own = append(own, a)
		}
		d.lastLoads = now
	}
	return nil, others, own, none
}

// withZoneLoads returns the message with those loads of failure domains that are selected by their name.
func withZoneLoads(msg *schema.NodeGossip, selected func(zone string) bool) *schema.NodeGossip {
	whole := msg.ZoneLoads
	msg.ZoneLoads = nil
	reduced := proto.Clone(msg).(*schema.NodeGossip)
	msg.ZoneLoads = whole
	for _, z := range whole {
		if selected(z.Zone) {
			reduced.ZoneLoads = append(reduced.ZoneLoads, z)
		}
	}
	return reduced
}

// datagrams encodes a message. One that is larger than a datagram may be is sent with one failure domain's loads at a time, and with shorter
// lists if that isn't enough: without datagrams the node would count as gone.
func datagrams(msg *schema.NodeGossip) ([][]byte, error) {
	data, err := proto.Marshal(msg)
	if err != nil || len(data) <= maxDatagram {
		return [][]byte{data}, err
	}
	if len(msg.ZoneLoads) < 2 {
		data, err = shortened(msg)
		return [][]byte{data}, err
	}
	var list [][]byte
	for i := range msg.ZoneLoads {
		parts, err := datagrams(withZoneLoads(msg, func(zone string) bool { return zone == msg.ZoneLoads[i].Zone }))
		if err != nil {
			return nil, err
		}
		list = append(list, parts...)
	}
	return list, nil
}

// shortened encodes a message with its longest lists cut by half until it fits into a datagram.
func shortened(msg *schema.NodeGossip) ([]byte, error) {
	msg = proto.Clone(msg).(*schema.NodeGossip)
	for {
		data, err := proto.Marshal(msg)
		if err != nil || len(data) <= maxDatagram || !halveLongest(msg) {
			return data, err
		}
	}
}

// halveLongest cuts the longest list of a message by half, and reports false if all are short.
func halveLongest(msg *schema.NodeGossip) bool {
	var zone *schema.ZoneLoads
	for _, z := range msg.ZoneLoads {
		zone = z
	}
	longest := max(len(msg.Loads), len(msg.Observed), len(msg.Statements), len(msg.Crashes), len(msg.Suspects), len(msg.Slow), len(zone.GetLoads()))
	half := longest / 2
	switch {
	case longest < minListLength:
		return false
	case len(msg.Observed) == longest:
		msg.Observed = msg.Observed[:half]
	case len(msg.Statements) == longest:
		msg.Statements = msg.Statements[:half]
	case len(msg.Crashes) == longest:
		msg.Crashes = msg.Crashes[:half]
	case len(msg.Suspects) == longest:
		msg.Suspects = msg.Suspects[:half]
	case len(msg.Slow) == longest:
		msg.Slow = msg.Slow[:half]
	case len(zone.GetLoads()) == longest:
		zone.Loads = zone.Loads[:half]
	default:
		msg.Loads = msg.Loads[:half]
	}
	return true
}
