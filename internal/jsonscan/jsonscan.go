// Package jsonscan splits JSON objects and arrays into their parts without decoding these. One part that can't be decoded, such as a
// value that is nested too deeply for encoding/json, thus doesn't make the rest unreadable. It doesn't recurse.
package jsonscan

import (
	"encoding/json"
	"errors"
)

// ErrMalformed is returned for data that isn't an object or an array, respectively.
var ErrMalformed = errors.New("malformed JSON")

// Members returns the members of an object by name. Of two with the same name, the last one counts. The values aren't checked.
func Members(data []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	err := split(data, '{', '}', func(part []byte) ([]byte, error) {
		end := stringEnd(part)
		var name string
		if end < 0 || json.Unmarshal(part[:end], &name) != nil {
			return nil, ErrMalformed
		}
		rest := skipSpace(part[end:])
		if len(rest) == 0 || rest[0] != ':' {
			return nil, ErrMalformed
		}
		rest = skipSpace(rest[1:])
		n := valueEnd(rest)
		if n <= 0 {
			return nil, ErrMalformed
		}
		members[name] = json.RawMessage(rest[:n])
		return rest[n:], nil
	})
	if err != nil {
		return nil, err
	}
	return members, nil
}

// Elements returns the elements of an array. They aren't checked.
func Elements(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(data, '[', ']', func(part []byte) ([]byte, error) {
		n := valueEnd(part)
		if n <= 0 {
			return nil, ErrMalformed
		}
		elements = append(elements, json.RawMessage(part[:n]))
		return part[n:], nil
	})
	if err != nil {
		return nil, err
	}
	return elements, nil
}

// Valid reports whether the data is one JSON value that is nested no deeper than maxDepth.
func Valid(data []byte, maxDepth int) bool { return depth(data) <= maxDepth && json.Valid(data) }

// split calls takePart at the begin of each part between the brackets. takePart returns what follows the part.
func split(data []byte, open, end byte, takePart func([]byte) ([]byte, error)) error {
	data = skipSpace(data)
	if len(data) == 0 || data[0] != open {
		return ErrMalformed
	}
	data = skipSpace(data[1:])
	if len(data) > 0 && data[0] == end {
		return checkEnd(data[1:])
	}
	for {
		rest, err := takePart(data)
		if err != nil {
			return err
		}
		rest = skipSpace(rest)
		switch {
		case len(rest) > 0 && rest[0] == end:
			return checkEnd(rest[1:])
		case len(rest) == 0 || rest[0] != ',':
			return ErrMalformed
		}
		data = skipSpace(rest[1:])
	}
}

func checkEnd(data []byte) error {
	if len(skipSpace(data)) > 0 {
		return ErrMalformed
	}
	return nil
}

func skipSpace(data []byte) []byte {
	for len(data) > 0 && isSpace(data[0]) {
		data = data[1:]
	}
	return data
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// stringEnd returns the length of the string with which the data begins, or -1.
func stringEnd(data []byte) int {
	if len(data) == 0 || data[0] != '"' {
		return -1
	}
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// valueEnd returns the length of the value with which the data begins, or -1. Of an object or array it finds only the end.
func valueEnd(data []byte) int {
	if len(data) == 0 {
		return -1
	}
	switch data[0] {
	case '"':
		return stringEnd(data)
	case '{', '[':
		return nestedEnd(data)
	}
	n := 0
	for n < len(data) && !isSpace(data[n]) && data[n] != ',' && data[n] != ']' && data[n] != '}' {
		n++
	}
	return n
}

// nestedEnd returns the length of the object or array with which the data begins, or -1.
func nestedEnd(data []byte) int {
	open := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			n := stringEnd(data[i:])
			if n < 0 {
				return -1
			}
			i += n - 1
		case '{', '[':
			open++
		case '}', ']':
			if open--; open == 0 {
				return i + 1
			}
		}
	}
	return -1
}

// depth returns how deeply a value is nested: 0 for one that is no object or array.
func depth(data []byte) int {
	open, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			n := stringEnd(data[i:])
			if n < 0 {
				return deepest
			}
			i += n - 1
		case '{', '[':
			open++
			deepest = max(deepest, open)
		case '}', ']':
			open--
		}
	}
	return deepest
}
