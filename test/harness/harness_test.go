package harness_test

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

func get(addr, path string, timeout time.Duration) (int, error) {
	resp, err := (&http.Client{Timeout: timeout}).Get("http://" + addr + path)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against fault switches that have no effect in the process of a stand-in, and against records that are not read
// from it.
func TestStandInProcesses(t *testing.T) {
	c := qt.New(t)
	p := harness.StartPlatform(t)
	p.SetVMs(0, &schema.VM{Name: "v1", State: schema.VMState_VM_STATE_LIVE})
	p.SetFaults(platform.Faults{Mode: platform.ModeDown})
	status, err := get(p.Address, "/v1/vms", time.Second)
	c.Check([]any{status, err}, qt.DeepEquals, []any{503, error(nil)})
	c.Check(p.Record().Calls, qt.DeepEquals, []platform.CallCount{{Method: "LIST", Kind: "vms", Count: 1}})

	e := harness.StartEngine(t, []string{"v1", "v2"}, "--fenced=false")
	e.SetFaults(engine.Faults{VM: "v1", Down: new(true)})
	_, err = get(e.VMs["v1"], "/v1/state", time.Second)
	c.Check(err, qt.ErrorIs, syscall.ECONNREFUSED)
	status, err = get(e.VMs["v2"], "/v1/state", time.Second)
	c.Check([]any{status, err}, qt.DeepEquals, []any{200, error(nil)})
	c.Check(e.Record()["v1"].States, qt.HasLen, 2)

	s := harness.StartService(t, "bookings")
	s.SetFaults(service.Faults{Restart: true})
	c.Check(s.Record().Incarnations, qt.HasLen, 2)
}

// Guards against a stopped child that still answers, and against children that keep running after SIGTERM or SIGKILL.
func TestSignals(t *testing.T) {
	c := qt.New(t)
	s := harness.StartService(t, "bookings")
	s.Freeze()
	_, err := get(s.Address, "/healthz", 100*time.Millisecond)
	c.Check(os.IsTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
	s.Thaw()
	harness.Eventually(t, 10*time.Second, func() error {
		_, err := get(s.Address, "/healthz", time.Second)
		return err
	})
	s.Terminate()
	c.Check(s.WaitExit(10*time.Second), qt.Equals, 0)
	killed := harness.StartService(t, "orders", "--listen", harness.FreeAddr(t))
	killed.Kill()
	c.Check(killed.WaitExit(10*time.Second), qt.Equals, -1)
	c.Check(syscall.Kill(killed.Pid(), 0), qt.ErrorIs, syscall.ESRCH)
}

// Guards against a poll that ends before the condition holds or goes on after it.
func TestEventually(t *testing.T) {
	calls := 0
	harness.Eventually(t, 10*time.Second, func() error {
		if calls++; calls < 3 {
			return fmt.Errorf("call %d", calls)
		}
		return nil
	})
	qt.Check(t, calls, qt.Equals, 3)
}
