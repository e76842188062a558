package rules_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const exampleFile = "../../examples/rules.ini"

func readFile(t testing.TB, path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func parse(t *testing.T, text string) *rules.Rules {
	r, problems := rules.Parse("rules.ini", text)
	qt.Assert(t, problems, qt.HasLen, 0)
	return r
}

// Guards against problems that are missing, reported twice or reported at the wrong line or column.
func TestParseReportsEveryProblem(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 10, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			r, problems := rules.Parse(filepath.Base(file), readFile(t, file))
			var got strings.Builder
			for _, p := range problems {
				got.WriteString(p.String() + "\n")
			}
			qt.Check(t, got.String(), qt.Equals, readFile(t, strings.TrimSuffix(file, ".ini")+".want"))
			qt.Check(t, r, qt.IsNil)
		})
	}
}

// Guards against an example file that no longer parses, and against values or comments that the parser drops.
func TestParseExample(t *testing.T) {
	c := qt.New(t)
	r := parse(t, readFile(t, exampleFile))
	c.Check(r.Pools["replies"], qt.Equals, rules.Pool{
		Name: "replies", Model: "short-reply", VMs: 2, Replicas: 20, Limits: rules.Limits{Cold: 4, Full: 32},
		MaxQueue: 64, Deadline: time.Minute,
	})
	c.Check(r.Services["bookings"].Targets[1], qt.Equals, rules.ServiceTarget{Address: "10.0.2.20:8080", FailureDomain: "fd-b"})
	c.Check(r.Origins["pools/replies"].Comment, qt.Equals, "Tomas, decal desk")
	c.Check(r.Origins["services/bookings"].Comment, qt.Contains, "Ingrid")
	c.Check(r.Match("orders", "GET", "/stock/red").Repeat, qt.IsTrue)
	c.Check(r.Match("orders", "GET", "/stock"), qt.Equals, rules.Route{Service: "orders", Method: "GET", Path: "/stock"})
	c.Check(r.Match("bookings", "POST", "/confirm").Priority, qt.Equals, rules.PriorityHigh)
}

// Guards against a call that counts as repeatable although the service may resolve its path to one that must not repeat.
func TestMatchRefusesAmbiguousPaths(t *testing.T) {
	r := parse(t, readFile(t, exampleFile))
	for _, path := range []string{
		"/stock/../orders", "/stock/./x", "/stock//x", "/stock/..", "/stock/..;a/orders", "/stock/%2e%2e/orders", `/stock/..\orders`,
	} {
		qt.Check(t, r.Match("orders", "GET", path).Repeat, qt.IsFalse, qt.Commentf("path %s", path))
	}
	qt.Check(t, r.Match("orders", "GET", "/stock/..red.v2/x").Repeat, qt.IsTrue)
}

// Guards against accepting a file that exceeds the platform's object size, and against an unbounded list of problems.
func TestParseBoundsSize(t *testing.T) {
	_, problems := rules.Parse("f", strings.Repeat("x", rules.MaxFileBytes+1))
	qt.Check(t, problems[0].String(), qt.Equals, "f: the file has 900001 bytes; at most 900000 are allowed")
	_, problems = rules.Parse("f", strings.Repeat("x\n", rules.MaxFileBytes/2))
	qt.Check(t, problems[len(problems)-1].Reason, qt.Equals, "449000 more problems are not listed")
}

// Guards against a parser that panics or returns both rules and problems or neither, and against a Diff that finds differences
// between equal rules.
func FuzzParse(f *testing.F) {
	f.Add(readFile(f, exampleFile))
	files, _ := filepath.Glob("testdata/*.ini")
	for _, file := range files {
		f.Add(readFile(f, file))
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, problems := rules.Parse("f", text)
		if (r == nil) != (len(problems) > 0) {
			t.Fatalf("Parse returned rules %v with problems %v; want exactly one of them", r, problems)
		}
		if r != nil && len(rules.Diff(r, r)) != 0 {
			t.Fatal("Diff of accepted rules with themselves is not empty")
		}
	})
}

// Guards against differences that Diff omits or returns without the comment.
func TestDiff(t *testing.T) {
	old := parse(t, `[failure_domains]
fd-a = state=in # platform
fd-b =  state=in # platform
[services]
s = targets=10.0.0.1:80@fd-a cold_limit=1 full_limit=2 # Ann
[routes]
x = service=s path=/x repeat=safe # Ann
y = service=s path=/y repeat=never # Ann
`)
	changed := parse(t, `[routes]
y = service=s path=/y repeat=never # Ann
x = service=s path=/x repeat=safe # Ann
[failure_domains]
fd-b = state=in # platform
fd-a = state=out # Bo, power work
fd-c = state=in # Bo
[services]
s = targets=10.0.0.1:80@fd-a cold_limit=1 full_limit=2 # Cy took over from Ann
`)
	var got []string
	for _, change := range rules.Diff(old, changed) {
		got = append(got, change.String())
	}
	qt.Check(t, got, qt.DeepEquals, []string{
		"changed [failure_domains] fd-a\n- fd-a = state=in  # platform\n+ fd-a = state=out  # Bo, power work",
		"added [failure_domains] fd-c\n+ fd-c = state=in  # Bo",
		"moved [routes] x  # Ann",
		"moved [routes] y  # Ann",
		"changed [services] s\n- s = targets=10.0.0.1:80@fd-a cold_limit=1 full_limit=2  # Ann\n" +
			"+ s = targets=10.0.0.1:80@fd-a cold_limit=1 full_limit=2  # Cy took over from Ann",
	})
	qt.Check(t, rules.Diff(changed, old)[1].Kind, qt.Equals, rules.Removed)
}

// Guards against pools that together need more VMs than a fabric domain has, and against counting leaving VMs.
func TestCheckCapacity(t *testing.T) {
	const pools = "[pools]\n" +
		"big = model=m vms=3 replicas=2 cold_limit=1 full_limit=1 # Ann\n" +
		"small = model=m vms=2 replicas=%d cold_limit=1 full_limit=1 # Bo\n"
	vms := func(leaving int, sizes ...int) (list []*schema.VM) {
		for domain, n := range sizes {
			for range n {
				state := schema.VMState_VM_STATE_LIVE
				if leaving > 0 {
					leaving, state = leaving-1, schema.VMState_VM_STATE_LEAVING
				}
				list = append(list, &schema.VM{FabricDomain: string(rune('a' + domain)), State: state})
			}
		}
		return list
	}
	for _, test := range []struct {
		name  string
		small string
		vms   []*schema.VM
		want  int
	}{
		{"fits exactly", "2", vms(0, 5, 5), 0},
		{"enough VMs, but in too many fabric domains", "2", vms(0, 4, 4, 1, 1), 1},
		{"one leaving", "2", vms(1, 5, 5), 1},
		{"no VM", "2", nil, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := parse(t, strings.Replace(pools, "%d", test.small, 1))
			problems := rules.CheckCapacity(r, test.vms)
			qt.Check(t, problems, qt.HasLen, test.want, qt.Commentf("%v", problems))
			for _, p := range problems {
				qt.Check(t, p.Line > 1, qt.IsTrue)
			}
		})
	}
	small, large := parse(t, strings.Replace(pools, "%d", "2", 1)), parse(t, strings.Replace(pools, "%d", "3", 1))
	qt.Check(t, rules.DemandGrows(small, large), qt.IsTrue)
	qt.Check(t, rules.DemandGrows(large, small), qt.IsFalse)
}
