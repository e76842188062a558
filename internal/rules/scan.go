package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// This file has its own scanner instead of using gopkg.in/ini.v1, because every problem must have its line and column.
// ini.v1 keeps neither, silently merges duplicate keys, joins lines that end in a backslash and stops at the first line
// that it can't parse.

// MaxFileBytes is the largest size of a rules file. The file must fit into one of the platform's 1 MB objects together with
// its JSON escapes and the other fields of the revision.
const MaxFileBytes = 900_000

// field is the value of one key of a rule.
type field struct {
	value  string
	column int // Column of the value.
}

// scannedRule is one rule line of a section, with its values not yet checked.
type scannedRule struct {
	section    string
	name       string
	line       int
	column     int
	fields     map[string]field
	keyColumns map[string]int // Column of each key.
	text       string
	comment    string
	// duplicate is true if an earlier rule has the same section and name. The values are still checked, but clashes of the
	// targets, token and route with other rules are not reported, because a duplicate usually repeats those of the first.
	duplicate bool
}

// scanLines splits the text into rules. It reports syntax problems and still scans the rest of a faulty line.
func (p *parser) scanLines(text string) []*scannedRule {
	var scanned []*scannedRule
	section, precedingComments := "", []string(nil)
	for i, line := range strings.Split(text, "\n") {
		lineNumber := i + 1
		line = strings.TrimSuffix(line, "\r")
		p.checkCharacters(lineNumber, line)
		body, comment, hasComment := splitComment(line)
		trimmed := strings.TrimSpace(body)
		switch {
		case trimmed == "" && hasComment:
			precedingComments = append(precedingComments, comment)
			continue
		case trimmed == "":
		case strings.HasPrefix(trimmed, "["):
			section = p.scanSection(lineNumber, line, trimmed)
		default:
			if r := p.scanRule(lineNumber, body, section); r != nil {
				r.comment = comment
				if !hasComment {
					r.comment = strings.Join(precedingComments, " ")
				}
				if !strings.ContainsFunc(r.comment, unicode.IsLetter) {
					p.addProblem(lineNumber, r.column, "rule %q has no comment that names who asked for it", r.name)
				}
				scanned = append(scanned, r)
			}
		}
		precedingComments = nil
	}
	return scanned
}

// splitComment cuts the line at the first # or ; that begins the line or follows white space.
func splitComment(line string) (body, comment string, found bool) {
	for i := 0; i < len(line); i++ {
		if line[i] != '#' && line[i] != ';' {
			continue
		}
		if i == 0 || line[i-1] == ' ' || line[i-1] == '\t' {
			return line[:i], strings.TrimSpace(strings.TrimLeft(line[i:], "#;")), true
		}
	}
	return line, "", false
}

// checkCharacters reports invalid UTF-8, control characters, byte order marks, line separators and bidirectional controls.
// The latter change the order or the end of a displayed line, so that the text that an operator reads could differ from
// the rule that is parsed.
func (p *parser) checkCharacters(lineNumber int, line string) {
	column := 0
	for i, r := range line {
		column++
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				p.addProblem(lineNumber, column, "byte 0x%02x is not valid UTF-8", line[i])
			}
		}
		hidden := r == '\uFEFF' || r == '\u2028' || r == '\u2029' || unicode.Is(unicode.Bidi_Control, r)
		if (unicode.IsControl(r) && r != '\t') || hidden {
			p.addProblem(lineNumber, column, "control character %U is not allowed", r)
		}
	}
}

// scanSection returns the section that a header begins, or unknownSection.
func (p *parser) scanSection(lineNumber int, line, trimmed string) string {
	column := columnOf(line, strings.Index(line, "["))
	name, terminated := strings.CutSuffix(trimmed[1:], "]")
	name = strings.TrimSpace(name)
	if !terminated {
		p.addProblem(lineNumber, column, "section header %q does not end with ]", trimmed)
	}
	if _, known := sections[name]; !known {
		p.addProblem(lineNumber, column, "unknown section %q; known are %s", name, knownSections())
		return unknownSection
	}
	if firstLine, duplicate := p.sectionLines[name]; duplicate {
		p.addProblem(lineNumber, column, "section %q already began on line %d", name, firstLine)
	} else {
		p.sectionLines[name] = lineNumber
	}
	return name
}

// scanRule returns nil if the line is not a rule or is not in a known section.
func (p *parser) scanRule(lineNumber int, body, section string) *scannedRule {
	start := len(body) - len(strings.TrimLeft(body, " \t"))
	equals := strings.IndexByte(body, '=')
	if equals < 0 {
		p.addProblem(lineNumber, columnOf(body, start), "expected \"name = key=value ...\"")
		return nil
	}
	r := &scannedRule{
		section: section, name: strings.TrimSpace(body[:equals]), line: lineNumber, column: columnOf(body, start),
		fields: map[string]field{}, keyColumns: map[string]int{},
	}
	switch section {
	case "":
		p.addProblem(lineNumber, r.column, "rule %q stands before the first section", r.name)
		return nil
	case unknownSection:
		return nil
	}
	if !validName(r.name) {
		p.addProblem(lineNumber, r.column, "rule name %q must have 1 to %d of a-z, 0-9, '.', '_' and '-', and begin with a letter or digit",
			r.name, maxNameLength)
	}
	p.scanFields(r, body, equals+1)
	return r
}

func (p *parser) scanFields(r *scannedRule, body string, offset int) {
	var texts []string
	for offset < len(body) {
		if body[offset] == ' ' || body[offset] == '\t' {
			offset++
			continue
		}
		end := offset
		for end < len(body) && body[end] != ' ' && body[end] != '\t' {
			end++
		}
		word := body[offset:end]
		texts = append(texts, word)
		p.scanField(r, word, columnOf(body, offset))
		offset = end
	}
	r.text = r.name + " = " + strings.Join(texts, " ")
	if len(texts) == 0 {
		p.addProblem(r.line, r.column, "rule %q has no settings", r.name)
	}
}

func (p *parser) scanField(r *scannedRule, word string, column int) {
	key, value, ok := strings.Cut(word, "=")
	if !ok || key == "" {
		p.addProblem(r.line, column, "expected key=value, found %q; values contain no spaces", word)
		return
	}
	if _, duplicate := r.fields[key]; duplicate {
		p.addProblem(r.line, column, "key %q is given twice", key)
		return
	}
	if _, known := sections[r.section].keys[key]; !known {
		p.addProblem(r.line, column, "unknown key %q in section %q", key, r.section)
		return
	}
	r.fields[key] = field{value: value, column: column + utf8.RuneCountInString(key) + 1}
	r.keyColumns[key] = column
	if value == "" {
		p.addProblem(r.line, column, "key %q has no value", key)
	}
}

const maxNameLength = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		letterOrDigit := (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9')
		if !letterOrDigit && (i == 0 || (c != '.' && c != '_' && c != '-')) {
			return false
		}
	}
	return true
}

// columnOf converts a byte offset to a column, which counts characters from 1.
func columnOf(line string, offset int) int {
	return utf8.RuneCountInString(line[:offset]) + 1
}
