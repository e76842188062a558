package mirror

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	fleetReplicas = 3000
	fleetReaders  = 100
	// batchChanges is the number of entries that change between two reads of the store by the mirror's node while groups form.
	batchChanges = 150
	// maxChangeBytes bounds what one change of an entry of about 400 bytes costs at the mirror for each reader.
	maxChangeBytes = 60
	// maxListBytes bounds what one entry costs in a list.
	maxListBytes = 40
)

// fleetEntry returns the entry of a replica after a number of changes, as the platform writes it.
func fleetEntry(i, changes int) platform.Object {
	model := []string{"large", "small"}[i%2]
	group := ""
	if changes > 0 {
		state := []string{"joining", "ready", "open"}[changes%3]
		group = fmt.Sprintf(`,"group":{"name":"%s-%d-%d","epoch":%d,"rank":%d,"state":"%s"}`, model, i/37, i/16, 4294967296+int64(i/16)*7+int64(changes), i%16, state)
	}
	spec := fmt.Sprintf(`{"service":"engine","address":"10.200.%d.%d:8100","zone":"fd-%c","slots":30,"state":"ready","cold_remaining_ms":0,"sequence":%d,`+
		`"models":[{"name":"%s"}],"staged":["%s"],"domain":"fd-%c-fabric-%d"%s,"born":%d}`, i/250, i%250, 'a'+i%3, 1+changes*7+i%5, model, model, 'a'+i%3, i/37, group,
		1_796_590_000_000+int64(i)*7919%60_000)
	return platform.Object{Name: fmt.Sprintf("engine-%04d", i), Revision: int64(1 + changes*fleetReplicas + i), Spec: []byte(spec)}
}

// fleetMirror is a mirror of a fleet, and the requests of its readers.
type fleetMirror struct {
	c       *quicktest.C
	copy    *Copy
	handler http.Handler
	at      platform.Position
	plain   bool // The readers accept no compressed answers, as those of the previous version.
	sent    int  // Bytes of bodies.
}

func newFleetMirror(c *quicktest.C) *fleetMirror {
	m := &fleetMirror{c: c, copy: New()}
	m.handler = platform.MirrorHandler(map[string]platform.Source{"servers": m.copy}, noConfig, func(int64) {})
	var list []platform.Object
	for i := range fleetReplicas {
		list = append(list, fleetEntry(i, 0))
	}
	m.at = at(fleetReplicas)
	m.copy.Replace(list, m.at)
	return m
}

// get sends a reader's request, and returns the status and the body.
func (m *fleetMirror) get(query string) (int, *httptest.ResponseRecorder) {
	r := httptest.NewRequest(http.MethodGet, "/cassiadeal/objects/servers"+query, nil)
	if !m.plain {
		r.Header.Set("Accept-Encoding", "gzip")
	}
	w := httptest.NewRecorder()
	m.handler.ServeHTTP(w, r)
	m.sent += w.Body.Len()
	return w.Code, w
}

// decode returns the objects or events of an answer.
func (m *fleetMirror) decode(w *httptest.ResponseRecorder) []json.RawMessage {
	var body io.Reader = w.Body
	if w.Header().Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(body)
		m.c.Assert(err, quicktest.IsNil)
		body = z
	}
	var answer struct{ Items, Events []json.RawMessage }
	m.c.Assert(json.NewDecoder(body).Decode(&answer), quicktest.IsNil)
	return append(answer.Items, answer.Events...)
}

// applyBatch changes batchChanges entries, which are the k-th of the fleet, for the given time.
func (m *fleetMirror) applyBatch(k, changes int) {
	var events []platform.Object
	for i := range batchChanges {
		events = append(events, fleetEntry(k*batchChanges+i, changes))
	}
	m.at = at(events[len(events)-1].Revision)
	m.copy.Apply(events, m.at)
}

func watchQuery(from int64) string { return "?watch=" + strconv.FormatInt(from, 10) + "&wait_ms=1" }

// Load: a failure domain of 100 nodes that read 3,000 entries through one mirror, start together and follow four changes of each entry while
// groups form. Guards against a mirror that sends more than its link carries: 14 MB/s were seen on links of 1.75 MB/s.
func TestBytesOfAMirrorWithAHundredReaders(t *testing.T) {
	c := quicktest.New(t)
	m := newFleetMirror(c)
	start := time.Now()
	for reader := range fleetReaders {
		code, answer := m.get("")
		c.Assert(code, quicktest.Equals, http.StatusOK)
		if reader == 0 {
			c.Assert(m.decode(answer), quicktest.HasLen, fleetReplicas)
		}
	}
	listBytes, listTime := m.sent, time.Since(start)
	m.sent, start = 0, time.Now()
	changes := 0
	for change := 1; change <= 4; change++ {
		for k := range fleetReplicas / batchChanges {
			from := m.at.Revision
			m.applyBatch(k, change)
			changes += batchChanges
			for reader := range fleetReaders {
				code, answer := m.get(watchQuery(from))
				c.Assert(code, quicktest.Equals, http.StatusOK)
				if reader == 0 {
					c.Assert(m.decode(answer), quicktest.HasLen, batchChanges)
				}
			}
		}
	}
	perChange, perEntry := m.sent/changes/fleetReaders, listBytes/fleetReplicas/fleetReaders
	t.Logf("lists: %d bytes for each entry and reader, %v in all; changes: %d bytes for each change and reader, %v in all for %d changes",
		perEntry, listTime, perChange, time.Since(start), changes)
	c.Check(perEntry <= maxListBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", perEntry))
	c.Check(perChange <= maxChangeBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", perChange))
}

// Load: readers that are behind by all batches while each entry changes four times. Guards against lists of all entries for readers that were
// slow, which delay the mirror and so all readers further: one that is behind gets each changed entry once.
func TestReaderThatIsFarBehindGetsEachChangeOnce(t *testing.T) {
	c := quicktest.New(t)
	m := newFleetMirror(c)
	from := m.at.Revision
	for change := 1; change <= 4; change++ {
		for k := range fleetReplicas / batchChanges / 2 {
			m.applyBatch(k, change)
		}
	}
	code, answer := m.get(watchQuery(from))
	c.Assert(code, quicktest.Equals, http.StatusOK)
	c.Assert(m.decode(answer), quicktest.HasLen, fleetReplicas/2)

	// The mirror lists again: its readers go on.
	list := []platform.Object{}
	for i := range fleetReplicas - 1 {
		list = append(list, fleetEntry(i, 4))
	}
	former := m.at
	m.at = at(list[len(list)-1].Revision + 10)
	m.copy.Replace(list, m.at)
	code, answer = m.get(watchQuery(former.Revision))
	c.Assert(code, quicktest.Equals, http.StatusOK)
	c.Assert(m.decode(answer), quicktest.HasLen, fleetReplicas/2) // Those that differ, and one removal.
}

// Guards against readers of the previous version that get answers which they can't decode.
func TestReadersThatAcceptNoCompressionGetPlainAnswers(t *testing.T) {
	c := quicktest.New(t)
	m := newFleetMirror(c)
	m.plain = true
	_, answer := m.get("")
	c.Check(answer.Header().Get("Content-Encoding"), quicktest.Equals, "")
	c.Check(m.decode(answer), quicktest.HasLen, fleetReplicas)
	m.plain = false
	_, answer = m.get("")
	c.Check(answer.Header().Get("Content-Encoding"), quicktest.Equals, "gzip")
}
