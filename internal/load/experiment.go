// Package load is a load generator. It sends requests on an open-loop schedule, checks the answers and measures latency
// from the intended start of each request.
package load

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Experiment is a checked experiment file with the defaults filled in.
type Experiment struct {
	Text string // Content of the file.

	Seed        uint64
	Duration    time.Duration // Measured part, after WarmUp.
	WarmUp      time.Duration
	Rate        float64 // Requests/s, divided by the shares of the traffic sections.
	Constant    bool    // Arrivals at equal intervals instead of a Poisson process.
	MaxInFlight int
	StartLimit  time.Duration // Longest wait while MaxInFlight requests are in flight; then a request counts as not started.

	Addresses        []string // Entry addresses, host:port; empty if DiscoveryAddress is set.
	DiscoveryAddress string   // Key ask: address whose GET /v1/addresses returns the entry addresses.

	Traffic []*Traffic
	Faults  []Fault // Sorted by At.
}

// Traffic is one [traffic NAME] section.
type Traffic struct {
	Name   string
	Kind   Kind
	Direct bool    // Sent to Engine instead of an entry address.
	Rate   float64 // Requests/s.
	Share  float64 // Of Experiment.Rate; 0 if the section has its own rate.
	Token  string

	Service     string
	Method      string
	Path        string // {n} is replaced by the request's number, in Body too.
	Body        string
	RepeatNever bool    // Send an Idempotency-Key with each request.
	ResendShare float64 // Share of the requests that are sent again with the same key after their answer.
	CheckEcho   bool    // Compare the answer with the request; needs the service stand-in, whose answer describes the request.

	Pool        string
	PromptWords Range
	Prefixes    int // Distinct prompt prefixes; 0 for none.
	PrefixWords int // Words of each prefix, part of PromptWords.
	MaxTokens   int
	Stream      bool
	Model       string // Model of the engine stand-in whose text is expected; empty for no comparison.

	Engine string // host:port of rank 0 for direct traffic.
	Group  string // If empty, Group and Number are read from the engine's state.
	Number uint64

	// Timeout is sent as X-Timeout-Ms to an entry address. The load generator cancels the request answerGrace later.
	Timeout time.Duration
}

// Kind is the kind of API that a traffic section calls.
type Kind string

// Kinds of traffic.
const (
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Range is an inclusive range of whole numbers.
type Range struct{ Low, High int }

// Fault is one line of [faults]: an HTTP request at a fixed time, such as one that injects a fault into a stand-in.
type Fault struct {
	At     time.Duration // From the start of the run, warm-up included.
	Method string
	URL    string
	Body   string
}

// totalTime is the length of the run, warm-up included.
func (e *Experiment) totalTime() time.Duration { return e.WarmUp + e.Duration }

// Parse parses and checks the content of an experiment file. The error joins all problems, each as "FILE:LINE: reason" if
// the line is known. Fault bodies given as @FILE are relative to the directory of path.
func Parse(path, text string) (*Experiment, error) {
	p := &parser{path: path, lines: findLines(text), experiment: &Experiment{
		Text: text, Seed: 1, MaxInFlight: 1024, StartLimit: 100 * time.Millisecond,
	}}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SpaceBeforeInlineComment: true, KeyValueDelimiters: "=", PreserveSurroundedQuote: true,
		AllowShadows: true, AllowDuplicateShadowValues: true, PreserveEmptyShadowValues: true,
	}, []byte(text))
	if err != nil {
		return nil, p.syntaxError(err, text)
	}
	for _, section := range file.Sections() {
		p.parseSection(section)
	}
	if len(p.problems) == 0 {
		p.checkConsistency()
	}
	if len(p.problems) > 0 {
		return nil, errors.Join(p.problems...)
	}
	return p.experiment, nil
}

// configLocation identifies a key of a section, or with an empty key the header of the section.
type configLocation struct{ section, key string }

// findLines returns the line numbers of each key and section header, which ini.v1 doesn't record.
func findLines(text string) map[configLocation][]int {
	lines, section := map[configLocation][]int{}, ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, _, _ = strings.Cut(line[1:], "]")
			section = strings.TrimSpace(section)
			lines[configLocation{section, ""}] = append(lines[configLocation{section, ""}], i+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				location := configLocation{section, strings.TrimSpace(key)}
				lines[location] = append(lines[location], i+1)
			}
		}
	}
	return lines
}

type parser struct {
	path       string
	lines      map[configLocation][]int
	experiment *Experiment
	problems   []error
}

// addProblem reports a problem at the last line of a location.
func (p *parser) addProblem(location configLocation, format string, args ...any) {
	lines := p.lines[location]
	if len(lines) == 0 {
		p.problems = append(p.problems, fmt.Errorf("%s: %s", p.path, fmt.Sprintf(format, args...)))
		return
	}
	p.addProblemAtLine(lines[len(lines)-1], format, args...)
}

func (p *parser) addProblemAtLine(line int, format string, args ...any) {
	p.problems = append(p.problems, fmt.Errorf("%s:%d: %s", p.path, line, fmt.Sprintf(format, args...)))
}

func (p *parser) syntaxError(err error, text string) error {
	var missingDelimiter ini.ErrDelimiterNotFound
	if errors.As(err, &missingDelimiter) {
		for i, line := range strings.Split(text, "\n") {
			if strings.TrimSpace(line) == strings.TrimSpace(missingDelimiter.Line) {
				return fmt.Errorf("%s:%d: expected \"key = value\", found %q", p.path, i+1, strings.TrimSpace(line))
			}
		}
	}
	return fmt.Errorf("%s: %w", p.path, err)
}

const trafficPrefix = "traffic "

func (p *parser) parseSection(s *ini.Section) {
	name := s.Name()
	if lines := p.lines[configLocation{name, ""}]; len(lines) > 1 {
		p.addProblem(configLocation{name, ""}, "section %q is already defined on line %d", name, lines[0])
		return
	}
	switch {
	case name == ini.DefaultSection:
		for _, key := range s.Keys() {
			p.addProblem(configLocation{name, key.Name()}, "key %q appears before the first section", key.Name())
		}
	case name == "experiment":
		p.setKeys(s, p.experiment.experimentSetters())
	case name == "entry":
		p.setKeys(s, p.experiment.entrySetters())
	case name == "faults":
		p.parseFaults(s)
	case strings.HasPrefix(name, trafficPrefix):
		p.parseTraffic(s, strings.TrimSpace(name[len(trafficPrefix):]))
	default:
		p.addProblem(configLocation{name, ""}, "unknown section %q; known are experiment, entry, faults and traffic NAME", name)
	}
}

// keySetters maps the keys of a section to functions that check and store a value.
type keySetters map[string]func(text string) error

func (p *parser) setKeys(s *ini.Section, knownKeys keySetters) {
	for _, key := range s.Keys() {
		location := configLocation{s.Name(), key.Name()}
		setter, ok := knownKeys[location.key]
		lines := p.lines[location]
		switch {
		case !ok:
			p.addProblem(location, "unknown key %q in section %q", location.key, location.section)
		case len(lines) > 1:
			p.addProblem(location, "key %q in section %q is already set on line %d", location.key, location.section, lines[0])
		default:
			if err := setter(key.Value()); err != nil {
				p.addProblem(location, "%s: %v", location.key, err)
			}
		}
	}
}

func (p *parser) parseTraffic(s *ini.Section, name string) {
	if !namePattern.MatchString(name) {
		p.addProblem(configLocation{s.Name(), ""}, "traffic name %q must have 1 to 63 of a-z, 0-9, '_' and '-'", name)
		return
	}
	traffic := &Traffic{Name: name, Method: "GET", Path: "/", PromptWords: Range{32, 32}, MaxTokens: 16, Timeout: 10 * time.Second}
	p.setKeys(s, traffic.setters())
	p.experiment.Traffic = append(p.experiment.Traffic, traffic)
}

// parseFaults reads lines "AT = METHOD URL BODY"; several may have the same time.
func (p *parser) parseFaults(s *ini.Section) {
	for _, key := range s.Keys() {
		lines := p.lines[configLocation{s.Name(), key.Name()}]
		for i, value := range key.ValueWithShadows() {
			fault, err := parseFault(filepath.Dir(p.path), key.Name(), value)
			switch {
			case err != nil && i < len(lines):
				p.addProblemAtLine(lines[i], "%v", err)
			case err != nil:
				p.addProblem(configLocation{s.Name(), key.Name()}, "%v", err)
			default:
				p.experiment.Faults = append(p.experiment.Faults, fault)
			}
		}
	}
}
