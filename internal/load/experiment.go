// Package load sends requests on an open-loop schedule, checks the answers and measures latency from the intended start
// of each request.
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
	Constant    bool    // Arrivals at equal distances in place of a Poisson process.
	MaxInFlight int
	StartLimit  time.Duration // Longest wait for one of the MaxInFlight places; later requests count as not started.

	Addresses        []string // Entry addresses, host:port; empty if Ask is set.
	DiscoveryAddress string   // Address whose GET /v1/addresses names the entry addresses.

	Traffic []*Traffic
	Faults  []Fault // In the order of their times.
}

// Traffic is one [traffic NAME] section.
type Traffic struct {
	Name   string
	Kind   Kind
	Direct bool    // Straight to Engine in place of an entry address.
	Rate   float64 // Requests/s.
	Share  float64 // Of Experiment.Rate; 0 if the section has its own rate.
	Token  string

	Service     string
	Method      string
	Path        string // {n} is replaced by the request's number, in Body too.
	Body        string
	RepeatNever bool
	ResendShare float64 // Share of the requests that are sent again with the same key after their answer.
	CheckEcho   bool    // The answer must describe the request, as that of the service stand-in does.

	Pool        string
	PromptWords Range
	Prefixes    int // Distinct prompt prefixes; 0 for none.
	PrefixWords int // Words of each prefix, part of PromptWords.
	MaxTokens   int
	Stream      bool
	Model       string // The text must be that of the engine stand-in for this model; empty for no comparison.

	Engine string // host:port of rank 0 for direct traffic.
	Group  string // Read from the engine's state if empty, with Number.
	Number uint64

	// Timeout is sent as X-Timeout-Ms. The tool itself gives up answerGrace later.
	Timeout time.Duration
}

// Kind tells what a traffic section calls.
type Kind string

// Kinds of traffic.
const (
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Range is an inclusive range of whole numbers.
type Range struct{ Low, High int }

// Fault is one line of [faults].
type Fault struct {
	At     time.Duration // From the start, warm-up included.
	Method string
	URL    string
	Body   string
}

// total is the time from the first possible arrival to the last.
func (e *Experiment) totalTime() time.Duration { return e.WarmUp + e.Duration }

// Parse checks the content of an experiment file. The error joins every problem, each as "FILE:LINE: reason" where the
// line is known. Files named as fault bodies are relative to the directory of the path.
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

// place is a key in a section; the key is empty for the header of the section.
type configLocation struct{ section, key string }

// findLines returns the lines on which each key stands, which ini.v1 doesn't keep.
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

// add reports a problem on the last line of a place.
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
		p.addProblem(configLocation{name, ""}, "section %q already began on line %d", name, lines[0])
		return
	}
	switch {
	case name == ini.DefaultSection:
		for _, key := range s.Keys() {
			p.addProblem(configLocation{name, key.Name()}, "key %q stands before the first section", key.Name())
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

// setters maps the keys of a section to functions that check and keep a value.
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

// faults reads lines "AT = METHOD URL BODY"; several may have the same time.
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
