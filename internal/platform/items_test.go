package platform

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// deepValue is nested far more deeply than encoding/json decodes.
var deepValue = strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)

// Guards against one odd object or VM that ends the reading of all others of its kind.
func TestOddItemDoesNotHideOthers(t *testing.T) {
	c := qt.New(t)
	client := startClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		items := `[{"name":"a","version":4,"data":{"name":"a"}},{"name":"odd","version":5,"data":` + deepValue + `},{"name":"odd","version":1e400,"data":{}},
			{"name":7},"odd",{"name":"b","version":6,"data":{"name":"b"}}]`
		switch {
		case r.URL.Path == "/v1/vms":
			_, _ = fmt.Fprintf(w, `{"version":3,"vms":[{"name":"a","address":"10.0.0.1:80"},{"name":"odd","address":"10.0.0.1:99999"},
				{"name":"odd","address":"10.0.0.1:-1"},{"name":"odd","address":"10.0.0.1:"},{"name":"odd","state":1e400},{"name":"odd","extra":%s},{},7,
				{"name":"b","state":"VM_STATE_LEAVING"}]}`, deepValue)
		case r.URL.Query().Get("watch") == "1":
			_, _ = fmt.Fprintf(w, `{"version":9,"events":%s}`, items)
		default:
			_, _ = fmt.Fprintf(w, `{"version":8,"items":%s}`, items)
		}
	}))
	ctx := context.Background()
	objects, version, err := client.List(ctx, "nodes")
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(8))
	c.Assert(objects, qt.HasLen, 3)
	c.Assert(objects[1].Name, qt.Equals, "odd")
	c.Assert(Decode(objects[1].Data, &schema.Node{}), qt.IsNotNil)
	c.Assert(string(objects[2].Data), qt.Equals, `{"name":"b"}`)
	events, version, err := client.Watch(ctx, "nodes", 8, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(9))
	c.Assert(events, qt.HasLen, 3)
	vms, version, err := client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(3))
	c.Assert(vms, qt.HasLen, 2)
	c.Assert(vms[1].GetName(), qt.Equals, "b")
}

// Guards against a cut-off list that is taken for a complete one.
func TestCutOffListFails(t *testing.T) {
	c := qt.New(t)
	whole := `{"version":8,"items":[{"name":"a","version":4,"data":{}},{"name":"b","version":6,"data":{}}]}`
	for n := range len(whole) {
		var response listResponse
		c.Assert(response.decode([]byte(whole[:n])), qt.IsNotNil, qt.Commentf("%d bytes", n))
	}
}

// FuzzResponses guards against responses that end the process.
func FuzzResponses(f *testing.F) {
	f.Add([]byte(`{"version":8,"items":[{"name":"a","version":4,"data":{"name":"a"}}],"events":[{"name":"a","deleted":true}]}`))
	f.Add([]byte(`{"version":8,"vms":[{"name":"a","address":"10.0.0.1:80","state":"VM_STATE_LEAVING"},{"name":"b","x":` + deepValue + `}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list listResponse
		if list.decode(data) == nil {
			for _, item := range append(list.Items, list.Events...) {
				_ = Decode(item.Data, &schema.Node{})
				_ = Decode(item.Data, &schema.HolderTable{})
				_ = Decode(item.Data, &schema.Config{})
			}
		}
		var vms vmListResponse
		if vms.decode(data) == nil {
			for _, raw := range vms.VMs {
				if vm, err := decodeVM(raw); err == nil && vm.GetName() == "" {
					t.Fatalf("%s was decoded to a VM without a name", raw)
				}
			}
		}
	})
}
