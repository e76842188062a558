// Package settings reads and checks the INI settings file of one daemon. The daemon opens no listener
// before the check has passed.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the values of a checked settings file, with the defaults filled in.
type Settings struct {
	Node      Node
	Listen    Addresses // host:port to bind.
	Advertise Addresses // host:port that other nodes and callers connect to; defaults to Listen.
	Platform  Platform
	Timing    Timing
	Limits    Limits
}

// Node identifies the daemon.
type Node struct {
	Name          string
	FailureDomain string
}

// Addresses holds one host:port per listener.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform holds the address of the platform, which serves the object API and the VM list.
type Platform struct {
	URL     string
	Timeout time.Duration // Time limit of a call other than a watch.
}

// Timing holds intervals and time limits.
type Timing struct {
	Heartbeat     time.Duration // Interval of the heartbeats to a peer.
	Renew         time.Duration // Interval of the lease renewals.
	Term          time.Duration // Duration of a lease, counted from the sending of its renewal.
	Margin        time.Duration // Wait after the end of a lease before a takeover.
	Probe         time.Duration // Interval of the probes of a target.
	Freshness     time.Duration // Age of a target's last probe report above which it gets no requests.
	MaxOutage     time.Duration // Longest time without a platform lease during which a majority of peers is enough.
	ForgetAfter   time.Duration // Time after the end of a lease before its record is removed.
	OrderDelivery time.Duration // Time limit for the delivery of an order to an engine.
	AddressKeep   time.Duration // Time for which callers may keep an entry node's address.
	ShutdownLimit time.Duration // Longest wait for requests in flight at a graceful shutdown.
	StreamIdle    time.Duration // Longest silence of a token stream before it is resumed on a new connection.
}

// Limits holds the highest sizes and numbers that one daemon accepts.
type Limits struct {
	MaxBodyBytes    int64 // Of one request.
	MaxHeaderBytes  int64 // Of one request.
	MaxAnswerBytes  int64 // Of one answer that is buffered in memory.
	MaxInFlight     int64 // Requests in flight.
	BodyReadTimeout time.Duration
	// MemoryMB is the memory of the machine, and MaxFDs the number of descriptors that this process may have open. The bounds on what
	// clients send derive from them. 0 for the defaults of package intake.
	MemoryMB, MaxFDs int64
}

// Defaults returns the values of keys that the file leaves out. Addresses, names and the platform URL have no default.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Timing: Timing{
			Heartbeat: 500 * time.Millisecond, Renew: time.Second, Term: 3 * time.Second, Margin: 500 * time.Millisecond,
			Probe: 250 * time.Millisecond, Freshness: time.Second, MaxOutage: 24 * time.Hour, ForgetAfter: time.Minute,
			OrderDelivery: 2 * time.Second, AddressKeep: 5 * time.Second, ShutdownLimit: time.Minute,
			StreamIdle: 5 * time.Second,
		},
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 64 << 10, MaxAnswerBytes: 8 << 20, MaxInFlight: 4096,
			BodyReadTimeout: 10 * time.Second,
		},
	}
}

// maxFileBytes is far above the size of any real settings file. It prevents the parsing of a wrong file, such as a log.
const maxFileBytes = 64 << 10

// Load reads and checks the settings file. The error joins every problem, each as "FILE:LINE: reason" where the line is
// known.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a settings file. The path is used only in problems.
func Parse(path string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("%s: the file has %d bytes; at most %d are allowed", path, len(data), maxFileBytes)
	}
	s := Defaults()
	c := &checker{path: path, lines: findKeyLines(string(data))}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true}, data)
	if err != nil {
		c.addParseError(err, string(data))
		return nil, errors.Join(c.problems...)
	}
	c.apply(file, s.entries())
	s.defaultAdvertise()
	if len(c.problems) == 0 {
		s.checkConsistency(c)
	}
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return &s, nil
}

// defaultAdvertise sets each missing advertised address to the listen address.
func (s *Settings) defaultAdvertise() {
	for _, pair := range []struct{ to, from *string }{
		{&s.Advertise.Caller, &s.Listen.Caller}, {&s.Advertise.Peer, &s.Listen.Peer}, {&s.Advertise.Operator, &s.Listen.Operator},
	} {
		if *pair.to == "" {
			*pair.to = *pair.from
		}
	}
}

// settingID identifies a key in a section. The key is empty for the section header.
type settingID struct{ section, key string }

// findKeyLines returns the line numbers of each key and section header, which ini.v1 doesn't keep.
func findKeyLines(text string) map[settingID][]int {
	lines, section := map[settingID][]int{}, ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, _, _ = strings.Cut(line[1:], "]")
			section = strings.TrimSpace(section)
			lines[settingID{section, ""}] = append(lines[settingID{section, ""}], i+1)
		default:
			if end := strings.IndexAny(line, "=:"); end >= 0 {
				id := settingID{section, strings.TrimSpace(line[:end])}
				lines[id] = append(lines[id], i+1)
			}
		}
	}
	return lines
}

// checker collects the problems of one settings file.
type checker struct {
	path     string
	lines    map[settingID][]int
	problems []error
}

// addProblem reports a problem at the last line that has the ID.
func (c *checker) addProblem(id settingID, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if lines := c.lines[id]; len(lines) > 0 {
		c.problems = append(c.problems, fmt.Errorf("%s:%d: %s", c.path, lines[len(lines)-1], reason))
		return
	}
	c.problems = append(c.problems, fmt.Errorf("%s: %s", c.path, reason))
}

// addParseError reports that ini.v1 can't parse the file.
func (c *checker) addParseError(err error, text string) {
	var missing ini.ErrDelimiterNotFound
	if errors.As(err, &missing) {
		for i, line := range strings.Split(text, "\n") {
			if strings.TrimSpace(line) == strings.TrimSpace(missing.Line) {
				c.problems = append(c.problems, fmt.Errorf("%s:%d: expected \"key = value\", found %q", c.path, i+1, missing.Line))
				return
			}
		}
	}
	c.problems = append(c.problems, fmt.Errorf("%s: %w", c.path, err))
}

// apply sets every entry from the file and reports unknown, duplicate, missing and invalid keys.
func (c *checker) apply(file *ini.File, entries []entry) {
	known, sections := map[settingID]bool{}, map[string]bool{ini.DefaultSection: true}
	for _, e := range entries {
		known[e.id], sections[e.id.section] = true, true
	}
	for _, section := range file.Sections() {
		if !sections[section.Name()] {
			c.addProblem(settingID{section.Name(), ""}, "unknown section %q", section.Name())
			continue
		}
		for _, key := range section.Keys() {
			id := settingID{section.Name(), key.Name()}
			if !known[id] {
				c.addProblem(id, "unknown key %q in section %q", id.key, id.section)
			}
			if lines := c.lines[id]; len(lines) > 1 {
				c.addProblem(id, "key %q in section %q is already set on line %d", id.key, id.section, lines[0])
			}
		}
	}
	for _, e := range entries {
		section, err := file.GetSection(e.id.section)
		if err != nil || !section.HasKey(e.id.key) {
			if e.required {
				c.addProblem(settingID{e.id.section, ""}, "[%s] lacks %s", e.id.section, e.id.key)
			}
			continue
		}
		if err := e.set(section.Key(e.id.key).Value()); err != nil {
			c.addProblem(e.id, "[%s] %s: %v", e.id.section, e.id.key, err)
		}
	}
}
