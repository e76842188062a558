// Package settings reads the INI settings of one daemon and checks them before anything listens.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings is a checked settings file with the defaults filled in.
type Settings struct {
	Node      Node
	Listen    Addresses // host:port to bind.
	Advertise Addresses // host:port that others use; equals Listen where not set.
	Platform  Platform
	Timing    Timing
	Limits    Limits
}

// Node names the daemon.
type Node struct {
	Name          string
	FailureDomain string
}

// Addresses has one host:port per listener.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform is the object API and VM list.
type Platform struct {
	URL     string
	Timeout time.Duration // Of one call other than a watch.
}

// Timing has the intervals and bounds of the design.
type Timing struct {
	Heartbeat     time.Duration // Between heartbeats to a peer.
	Renew         time.Duration // Between lease renewals.
	Term          time.Duration // Lease term, from the sending of the renewal.
	Margin        time.Duration // Added to the term before a takeover.
	Probe         time.Duration // Between probes of a target.
	Freshness     time.Duration // Age up to which a target's report permits dispatch.
	MaxOutage     time.Duration // Time for which a majority of peers replaces the platform.
	ForgetAfter   time.Duration // Age of an expired lease before its record is removed.
	OrderDelivery time.Duration // Longest delivery time of an order to an engine.
	AddressKeep   time.Duration // Time for which callers keep an address.
	ShutdownLimit time.Duration // Longest wait for requests in flight at a graceful shutdown.
	StreamIdle    time.Duration // Silence after which a stream is resumed on a new connection.
}

// Limits bounds what one daemon accepts.
type Limits struct {
	MaxBodyBytes    int64 // Of one request.
	MaxHeaderBytes  int64 // Of one request.
	MaxAnswerBytes  int64 // Of one answer that is held in memory.
	MaxInFlight     int64 // Requests.
	BodyReadTimeout time.Duration
}

// Defaults returns the settings that hold where the file says nothing; addresses, names and the platform URL have none.
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

// maxFileBytes is far above any real settings file and keeps a wrong path, such as a log, from being parsed.
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

// Parse checks the content of a settings file; the path only labels problems.
func Parse(path string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("%s: the file has %d bytes; at most %d are allowed", path, len(data), maxFileBytes)
	}
	s := Defaults()
	c := &checker{path: path, lines: findLines(string(data))}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true}, data)
	if err != nil {
		c.addUnreadable(err, string(data))
		return nil, errors.Join(c.problems...)
	}
	c.read(file, s.entries())
	s.inherit()
	if len(c.problems) == 0 {
		s.checkTogether(c)
	}
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return &s, nil
}

// inherit lets the advertised addresses default to the bound ones.
func (s *Settings) inherit() {
	for _, pair := range []struct{ to, from *string }{
		{&s.Advertise.Caller, &s.Listen.Caller}, {&s.Advertise.Peer, &s.Listen.Peer}, {&s.Advertise.Operator, &s.Listen.Operator},
	} {
		if *pair.to == "" {
			*pair.to = *pair.from
		}
	}
}

// place is a key in a section; the key is empty for the header of the section.
type place struct{ section, key string }

// findLines returns the lines on which each key stands, which ini.v1 doesn't keep.
func findLines(text string) map[place][]int {
	lines, section := map[place][]int{}, ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, _, _ = strings.Cut(line[1:], "]")
			section = strings.TrimSpace(section)
			lines[place{section, ""}] = append(lines[place{section, ""}], i+1)
		default:
			if end := strings.IndexAny(line, "=:"); end >= 0 {
				at := place{section, strings.TrimSpace(line[:end])}
				lines[at] = append(lines[at], i+1)
			}
		}
	}
	return lines
}

type checker struct {
	path     string
	lines    map[place][]int
	problems []error
}

func (c *checker) add(at place, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if lines := c.lines[at]; len(lines) > 0 {
		c.problems = append(c.problems, fmt.Errorf("%s:%d: %s", c.path, lines[len(lines)-1], reason))
		return
	}
	c.problems = append(c.problems, fmt.Errorf("%s: %s", c.path, reason))
}

func (c *checker) addUnreadable(err error, text string) {
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

// read sets every entry from the file and reports unknown, doubled, missing and unreadable ones.
func (c *checker) read(file *ini.File, entries []entry) {
	known, sections := map[place]bool{}, map[string]bool{ini.DefaultSection: true}
	for _, e := range entries {
		known[e.at], sections[e.at.section] = true, true
	}
	for _, section := range file.Sections() {
		if !sections[section.Name()] {
			c.add(place{section.Name(), ""}, "unknown section %q", section.Name())
			continue
		}
		for _, key := range section.Keys() {
			at := place{section.Name(), key.Name()}
			if !known[at] {
				c.add(at, "unknown key %q in section %q", at.key, at.section)
			}
			if lines := c.lines[at]; len(lines) > 1 {
				c.add(at, "key %q in section %q is already set on line %d", at.key, at.section, lines[0])
			}
		}
	}
	for _, e := range entries {
		section, err := file.GetSection(e.at.section)
		if err != nil || !section.HasKey(e.at.key) {
			if e.required {
				c.add(place{e.at.section, ""}, "[%s] lacks %s", e.at.section, e.at.key)
			}
			continue
		}
		if err := e.set(section.Key(e.at.key).Value()); err != nil {
			c.add(e.at, "[%s] %s: %v", e.at.section, e.at.key, err)
		}
	}
}
