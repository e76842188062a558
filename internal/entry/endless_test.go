package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/endless"
	"cassiadeal.example/cassiadeal/platform"
)

const endlessConfig = `{"version":1,"routes":[{"name":"order","host":"x.example","path_prefix":"/order/","type":"unsafe","service":"desk","max_attempts":1}],
	"services":[{"name":"desk"},{"name":"engine","engine":{"slots":8,"stride":1,"chunk":2048,"step_ms":1,"read_per_s":46000,"loads_per_s":1000,
	"loads_at_once":1000,"form_ms":300,"usual":{"prompt":100,"answer":10},"models":[{"name":"m","size":1,"share":1,"pace":1,"load_s":1,"warm_s":1}]}}],"limits":{}}`

// Pattern: many replicas answer the orders and queries of a node without end while clients use sound replicas. Guards against a node that
// runs out of memory: the requests of all its clients end with it.
func TestClientsAreServedBesideReplicasThatAnswerWithoutEnd(t *testing.T) {
	const replicas, requests = 100, 100
	for _, firstRun := range []bool{true, false} { // Orders are sent at once, or queries first.
		for _, answer := range endless.Answers {
			switch answer.Name {
			case "header line", "informational responses", "chunk extension", "body of one string":
			default:
				continue // See the test of the client of replicas.
			}
			t.Run(fmt.Sprintf("%s first run %v", answer.Name, firstRun), func(t *testing.T) {
				c := quicktest.New(t)
				faulty, err := endless.Start(answer)
				c.Assert(err, quicktest.IsNil)
				defer faulty.Close()
				sound, _ := silentReplica(c)
				store := newFakeStore()
				store.put(platform.KindConfig, platform.ConfigName, json.RawMessage(endlessConfig))
				entry := func(id, service, address string) {
					store.put(platform.KindReplicas, id, map[string]any{"service": service, "address": address, "zone": "z", "slots": 64,
						"state": "ready", "born": 7, "sequence": 1})
				}
				entry("i-sound", "desk", sound)
				for i := range replicas {
					entry(fmt.Sprintf("i-%d", i), "engine", faulty.Address)
				}
				front, terminate, ended := startServingNode(c, store, `"grace_s":8`, `"grace_s":2`, `"node_name":"n"`, fmt.Sprintf(`"node_name":"n","bootstrap":%v`, firstRun))
				defer func() {
					terminate()
					<-ended // The next node binds the same ports.
				}()
				runtime.GC()
				peak := endless.PeakHeap(func() {
					deadline := time.Now().Add(time.Minute)
					for i := 0; (i < requests || faulty.Requests() < replicas) && time.Now().Before(deadline); i++ {
						r := sendToNode(front, "/order/quick", drainTestTimeout)
						c.Check(r.err, quicktest.IsNil)
						c.Check(r.status, quicktest.Equals, http.StatusOK, quicktest.Commentf("request %d, after %v: %s", i, r.took, r.body))
						time.Sleep(10 * time.Millisecond)
					}
				})
				c.Check(faulty.Requests() >= replicas, quicktest.IsTrue, quicktest.Commentf("%d calls", faulty.Requests()))
				c.Check(peak < endless.SmallestHeap, quicktest.IsTrue, quicktest.Commentf("%d MB of heap in use", peak>>20))
			})
		}
	}
}
