package jsonscan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against one deeply nested value that makes all others unreadable.
func TestDeeplyNestedValueDoesNotHideOthers(t *testing.T) {
	c := quicktest.New(t)
	deep := nested(1_000_000)
	elements, err := Elements([]byte(`[1, ` + deep + ` ,{"a":"]"}]`))
	c.Assert(err, quicktest.IsNil)
	c.Assert(elements, quicktest.HasLen, 3)
	c.Assert(string(elements[2]), quicktest.Equals, `{"a":"]"}`)
	members, err := Members([]byte(`{"x":` + deep + `,"y" : "a\"}" }`))
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(members["y"]), quicktest.Equals, `"a\"}"`)
	c.Assert(Valid([]byte(deep), 64), quicktest.IsFalse)
	c.Assert(Valid([]byte(nested(64)), 64), quicktest.IsTrue)
	c.Assert(Valid([]byte(`{"a":"[[[[["}`), 1), quicktest.IsTrue)
}

// Guards against a cut-off answer that is taken for a shorter list.
func TestMalformedDataIsRefused(t *testing.T) {
	for _, data := range []string{``, `x`, `[`, `[1`, `[1,`, `[1,]`, `[1 2]`, `[1]2`, `["a]`, `[{]`, `[,]`} {
		_, err := Elements([]byte(data))
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%s", data))
	}
	for _, data := range []string{``, `[]`, `{`, `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":1,}`, `{"a" 1}`, `{a:1}`, `{"a":1}x`, `{"a":}`, `{"\q":1}`} {
		_, err := Members([]byte(data))
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%s", data))
	}
}

// FuzzSplit compares the parts of valid JSON with those of encoding/json.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`{"items":[{"a":1},null],"b":"\u0022]"}`, `[1,"a\\",{"b":[]}]`, `{"a":1,"a":2}`, `{"\u0061":1e999}`, `[]`, ` { } `,
		`[}]`, `{"a":[}`, `["\`, nested(100), `{"items":[{"metadata":{"name":"x","revision":99999999999999999999}}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members, err := Members(data)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(data, &wantMembers) == nil && wantMembers != nil {
			if err != nil {
				t.Fatalf("object %q: %v", data, err)
			}
			if got, want := fmt.Sprintf("%s", members), fmt.Sprintf("%s", wantMembers); got != want {
				t.Fatalf("object %q: got %s, want %s", data, got, want)
			}
		}
		elements, err := Elements(data)
		var wantElements []json.RawMessage
		if json.Unmarshal(data, &wantElements) == nil && wantElements != nil {
			if err != nil || len(elements) != len(wantElements) {
				t.Fatalf("array %q: got %s, %v", data, elements, err)
			}
			for i := range elements {
				if !bytes.Equal(elements[i], wantElements[i]) {
					t.Fatalf("array %q: got %s, want %s", data, elements[i], wantElements[i])
				}
			}
		}
		if Valid(data, 10) && !json.Valid(data) {
			t.Fatalf("%q is not valid", data)
		}
	})
}
