package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// The scanner is our own because every problem must carry its line and column. gopkg.in/ini.v1 drops both, merges
// duplicate keys silently, joins lines that end in a backslash and stops at the first line it cannot read.

// MaxFileBytes leaves room in the platform's 1 MB objects for the JSON escapes and the other fields of the revision.
const MaxFileBytes = 900_000

// field is one key=value of a rule.
type field struct {
	value  string
	column int // Of the value.
}

// rule is one line of a section before its values are checked.
type rule struct {
	section string
	name    string
	line    int
	column  int
	fields  map[string]field
	columns map[string]int // Of the keys.
	text    string
	comment string
	// duplicate is true for the second rule of one name. Its values are checked, but its targets, token and route are not
	// compared with those of the first, which they usually repeat.
	duplicate bool
}

// scanLines splits the text into rules. Problems of form are reported; the rest of a faulty line is still scanned.
func (p *parser) scanLines(text string) []*rule {
	var found []*rule
	section, above := "", []string(nil)
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSuffix(line, "\r")
		p.checkCharacters(number, line)
		body, comment, hasComment := splitComment(line)
		trimmed := strings.TrimSpace(body)
		switch {
		case trimmed == "" && hasComment:
			above = append(above, comment)
			continue
		case trimmed == "":
		case strings.HasPrefix(trimmed, "["):
			section = p.scanSection(number, line, trimmed)
		default:
			if r := p.scanRule(number, body, section); r != nil {
				r.comment = comment
				if !hasComment {
					r.comment = strings.Join(above, " ")
				}
				if !strings.ContainsFunc(r.comment, unicode.IsLetter) {
					p.add(number, r.column, "rule %q has no comment that names who asked for it", r.name)
				}
				found = append(found, r)
			}
		}
		above = nil
	}
	return found
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

// checkCharacters refuses control characters, and characters that change the order or the end of a displayed line, so
// that an operator sees the rule that is in force.
func (p *parser) checkCharacters(number int, line string) {
	column := 0
	for i, r := range line {
		column++
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				p.add(number, column, "byte 0x%02x is not valid UTF-8", line[i])
			}
		}
		hidden := r == '\uFEFF' || r == '\u2028' || r == '\u2029' || unicode.Is(unicode.Bidi_Control, r)
		if (unicode.IsControl(r) && r != '\t') || hidden {
			p.add(number, column, "control character %U is not allowed", r)
		}
	}
}

func (p *parser) scanSection(number int, line, trimmed string) string {
	column := columnOf(line, strings.Index(line, "["))
	name, closed := strings.CutSuffix(trimmed[1:], "]")
	name = strings.TrimSpace(name)
	if !closed {
		p.add(number, column, "section header %q does not end with ]", trimmed)
	}
	if _, known := sections[name]; !known {
		p.add(number, column, "unknown section %q; known are %s", name, knownSections())
		return unknownSection
	}
	if first, again := p.sectionLines[name]; again {
		p.add(number, column, "section %q already began on line %d", name, first)
	} else {
		p.sectionLines[name] = number
	}
	return name
}

// scanRule returns nil if the line is no rule or lies in no known section.
func (p *parser) scanRule(number int, body, section string) *rule {
	start := len(body) - len(strings.TrimLeft(body, " \t"))
	equals := strings.IndexByte(body, '=')
	if equals < 0 {
		p.add(number, columnOf(body, start), "expected \"name = key=value ...\"")
		return nil
	}
	r := &rule{
		section: section, name: strings.TrimSpace(body[:equals]), line: number, column: columnOf(body, start),
		fields: map[string]field{}, columns: map[string]int{},
	}
	switch section {
	case "":
		p.add(number, r.column, "rule %q stands before the first section", r.name)
		return nil
	case unknownSection:
		return nil
	}
	if !validName(r.name) {
		p.add(number, r.column, "rule name %q must have 1 to %d of a-z, 0-9, '.', '_' and '-', and begin with a letter or digit",
			r.name, maxNameLength)
	}
	p.scanFields(r, body, equals+1)
	return r
}

func (p *parser) scanFields(r *rule, body string, offset int) {
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
		p.add(r.line, r.column, "rule %q has no settings", r.name)
	}
}

func (p *parser) scanField(r *rule, word string, column int) {
	key, value, ok := strings.Cut(word, "=")
	if !ok || key == "" {
		p.add(r.line, column, "expected key=value, found %q; values contain no spaces", word)
		return
	}
	if _, again := r.fields[key]; again {
		p.add(r.line, column, "key %q is given twice", key)
		return
	}
	if _, known := sections[r.section].keys[key]; !known {
		p.add(r.line, column, "unknown key %q in section %q", key, r.section)
		return
	}
	r.fields[key] = field{value: value, column: column + utf8.RuneCountInString(key) + 1}
	r.columns[key] = column
	if value == "" {
		p.add(r.line, column, "key %q has no value", key)
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

func columnOf(line string, offset int) int {
	return utf8.RuneCountInString(line[:offset]) + 1
}
