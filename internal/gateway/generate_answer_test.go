package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against text that is changed where it is cut, also within a character, and in bytes that are no text.
func TestGenerateAnswersInParts(t *testing.T) {
	text := []byte("a\"\\\n<ü€𝄞\xff\xe2\x82z€")
	var whole struct{ Text string }
	encoded, err := json.Marshal(map[string]string{"text": string(text)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(encoded, &whole), qt.IsNil)
	for size := 1; size <= len(text); size++ {
		var parts [][]byte
		for rest := text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			parts = append(parts, rest[:min(size, len(rest))])
		}
		var out bytes.Buffer
		qt.Assert(t, writeGenerateAnswer(&out, `id"1`, parts, 7), qt.IsNil)
		var got struct {
			RequestID string `json:"request_id"`
			Text      string `json:"text"`
			Tokens    int    `json:"tokens"`
		}
		qt.Assert(t, json.Unmarshal(out.Bytes(), &got), qt.IsNil)
		qt.Check(t, got.Text, qt.Equals, whole.Text, qt.Commentf("parts of %d bytes", size))
		qt.Check(t, got.RequestID, qt.Equals, `id"1`)
		qt.Check(t, got.Tokens, qt.Equals, 7)
	}
}
