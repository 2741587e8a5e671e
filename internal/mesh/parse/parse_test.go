package parse

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

// valid is a valid tree; each test case makes one change that invalidates it.
const valid = `settings: {timeout: 2s}
zones: {a: {region: r, settings: {retries: 1}}}
services:
  ledger:
    settings: {cold-limit: 4}
    routes:
      pay: {path: /pay, methods: [POST], settings: {class: critical}}
      read: {path: /pay, methods: [GET], settings: {idempotent: true}}
organisations:
  big: {rate: 5, timeout: 1s}
`

// TestRefusals guards against a tree that is accepted although a part of it is
// invalid, ambiguous or without effect, and against problems that are reported with a
// wrong position.
func TestRefusals(t *testing.T) {
	if _, err := Tree([]byte(valid)); err != nil {
		t.Fatalf("valid tree: got %v, want no problem", err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "retries: 1", "retry: 1", "f:2: zones.a.settings.retry: is not known; allowed here: timeout, retries, class, max-body, idempotent, open, once, cold-limit, target-delay, queue-length"},
		{"unknown level", "organisations:", "customers:", "f:9: customers: is not known; allowed here: organisations, services, settings, zones"},
		{"number for a mapping", "{cold-limit: 4}", "4", "f:5: services.ledger.settings: is not a mapping"},
		{"duration without unit", "timeout: 2s", "timeout: 2", "f:1: settings.timeout: is \"2\"; write a duration with its unit"},
		{"duration out of range", "timeout: 2s", "timeout: 20m", "f:1: settings.timeout: is 20m0s; allowed is a duration from 1ms to 10m0s"},
		{"retries out of range", "retries: 1", "retries: -1", "f:2: zones.a.settings.retries: is -1; allowed is a whole number from 0 to 16"},
		{"unknown class", "class: critical", "class: top", "f:7: services.ledger.routes.pay.settings.class: is \"top\"; allowed are critical"},
		{"unknown once", "class: critical", "once: memory", "f:7: services.ledger.routes.pay.settings.once: is \"memory\"; allowed is platform"},
		{"endless rate", "rate: 5", "rate: .inf", "f:10: organisations.big.rate: is +Inf; allowed is a number above 0"},
		{"rate that is no number", "rate: 5", "rate: .nan", "f:10: organisations.big.rate: is NaN"},
		{"burst below one", "rate: 5", "burst: 0.5", "f:10: organisations.big.burst: is 0.5; allowed is a number from 1"},
		{"misplaced fleet setting", "cold-limit: 4", "key-grace: 1m", "f:5: services.ledger.settings.key-grace: has no meaning on the level service; allowed on: fleet"},
		{"misplaced route setting", "rate: 5", "open: true", "f:10: organisations.big.open: has no meaning on the level organisation"},
		{"open route with limits", "idempotent: true", "open: true, rate: 4", "f:8: services.ledger.routes.read.settings.rate: limits an organisation, but open requests belong to none; allowed on: fleet, organisation"},
		{"limits without effect", "timeout: 2s", "open: true", "f:10: organisations.big.rate: has no effect, because every route is open"},
		{"zone without region", "region: r, ", "", "f:2: zones.a.region: is missing"},
		{"service without routes", "    routes:\n", "    routes: {}\n    unused:\n", "f:6: services.ledger.routes: is missing; a service needs at least one route"},
		{"route without path", "path: /pay, methods: [POST], ", "", "f:7: services.ledger.routes.pay.path: is missing"},
		{"relative path", "path: /pay, methods: [POST]", "path: pay, methods: [POST]", "f:7: services.ledger.routes.pay.path: is \"pay\"; it must start with a slash"},
		{"path with dots", "path: /pay, methods: [POST]", "path: /a/../pay, methods: [POST]", "f:7: services.ledger.routes.pay.path: is \"/a/../pay\"; empty segments"},
		{"small method", "[POST]", "[post]", "f:7: services.ledger.routes.pay.methods: names \"post\""},
		{"routes that overlap", "[POST]", "[POST, GET]", "f:8: services.ledger.routes.read.path: covers the same requests as route \"pay\" (GET /pay)"},
		{"routes that overlap by a slash", "path: /pay, methods: [POST]", "path: /pay/", "f:8: services.ledger.routes.read.path: covers the same requests as route \"pay\""},
		{"timeout below target-delay", "idempotent: true", "timeout: 10ms", "f:8: services.ledger.routes.read.settings.timeout: is 10ms, but target-delay there is 20ms"},
		{"timeout below target-delay in one zone", "retries: 1", "target-delay: 30s", "is 2s in zone a, but target-delay there is 30s"},
		{"organisation below target-delay", "timeout: 1s", "timeout: 2ms", "f:10: organisations.big.timeout: is 2ms, but the longest target-delay"},
		{"claims forgotten too early", "timeout: 2s", "timeout: 1m, claim-keep: 30s", "f:1: settings.claim-keep: is 30s, but requests may run for 1m0s"},
		{"once on an idempotent route", "idempotent: true", "idempotent: true, once: platform", "f:8: services.ledger.routes.read.settings.once: has no meaning on an idempotent route"},
		{"reserved service", "  ledger:", "  quetzal:", "f:4: services.quetzal: the name is used by the nodes"},
		{"name with a space", "  ledger:", "  the ledger:", "f:4: services.the ledger: the name \"the ledger\" is not allowed"},
		{"repeated name", "  big: {rate: 5, timeout: 1s}", "  big: {}\n  big: {}", "f:11: organisations.big: was already given at line 10"},
		{"alias", "settings: {timeout: 2s}", "settings: &s {timeout: 2s}\nzones: {b: {region: r, settings: *s}}\nzonesx:", "zones.b.settings: uses a YAML alias"},
		{"second document", "organisations:", "---\norganisations:", "a second document starts here"},
		{"broken YAML", "zones: {a:", "zones: {{a:", "did not find expected"},
		{"empty text", valid, "# nothing\n", "f:1: the text is empty"},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		_, err := File("f", []byte(text))
		var refused *InvalidTreeError
		if !errors.As(err, &refused) {
			t.Errorf("%s: got %v, want an InvalidTreeError", c.name, err)
			continue
		}
		if !slices.ContainsFunc(refused.Problems, func(p Problem) bool { return strings.Contains(p.String(), c.want) }) {
			t.Errorf("%s: got %v, want %q among the problems", c.name, err, c.want)
		}
	}
}

// TestAllProblems guards against reporting only the first problem of a tree.
func TestAllProblems(t *testing.T) {
	_, err := Tree([]byte("settings: {timeout: 0s, retries: x, what: 1}\nzones: {a: {}}\nservices: {s: {}}\n"))
	var refused *InvalidTreeError
	if !errors.As(err, &refused) || len(refused.Problems) != 5 {
		t.Errorf("got %v, want 5 problems", err)
	}
}

// TestExamples guards against example files that are invalid or that do not prioritise
// their most important routes.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		file     string
		zones    []mesh.ZoneName
		region   string
		services []mesh.ServiceName
		routes   map[string]routePolicy
	}{
		{"hatian", []mesh.ZoneName{"luzon-a", "luzon-b", "luzon-c"}, "luzon", []mesh.ServiceName{"ledger", "settlement", "reimbursement", "balance"}, map[string]routePolicy{
			"settlement/payouts": {mesh.ClassCritical, false},
		}},
		{"association", []mesh.ZoneName{"ee-north-a", "ee-north-b", "ee-north-c", "ee-north-d"}, "ee-north", []mesh.ServiceName{"gallery", "payment", "booking", "calendar"}, map[string]routePolicy{
			"booking/confirmations": {mesh.ClassCritical, false},
			"payment/deposits":      {mesh.ClassCritical, false},
			"calendar/calendars":    {mesh.ClassNormal, true},
			"booking/quotes":        {mesh.ClassNormal, true},
		}},
	} {
		text, err := os.ReadFile("../../../examples/" + c.file + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		tr, err := File(c.file, text)
		if err != nil {
			t.Errorf("%s: got %v, want no problem", c.file, err)
			continue
		}
		checkExample(t, c.file, tr, c.zones, c.region, c.services, c.routes)
	}
}

type routePolicy struct {
	class      mesh.Class
	idempotent bool
}

func checkExample(t *testing.T, file string, tr *tree.Tree, zones []mesh.ZoneName, region string, services []mesh.ServiceName, routes map[string]routePolicy) {
	t.Helper()
	if len(tr.Zones) != len(zones) || len(tr.Services) != len(services) || len(tr.Organisations) != 8 {
		t.Errorf("%s: got %d zones, %d services and %d organisations, want %d, %d and 8", file, len(tr.Zones), len(tr.Services), len(tr.Organisations), len(zones), len(services))
	}
	for _, z := range zones {
		x := tr.Index(z)
		if x.Zone.Region != region {
			t.Errorf("%s: region of %s: got %q, want %q", file, z, x.Zone.Region, region)
		}
		for _, s := range services {
			if !x.HasService(s) {
				t.Errorf("%s: service %s: got none, want one", file, s)
			}
		}
		for name, want := range routes {
			service, route, _ := strings.Cut(name, "/")
			r, found := x.RouteByName(mesh.ServiceName(service), route, "")
			if !found || (routePolicy{r.Class, r.Idempotent}) != want {
				t.Errorf("%s: route %s in %s: got %+v, want %+v", file, name, z, r, want)
			}
		}
	}
}

// designTree returns a tree of the design size: 190 services with 5 routes each and
// 500 organisations.
func designTree() (text []byte) {
	var b strings.Builder
	b.WriteString("settings: {timeout: 2s}\nzones:\n")
	for z := range 11 {
		fmt.Fprintf(&b, "  zone-%02d: {region: region-%d}\n", z, z/4)
	}
	b.WriteString("services:\n")
	for s := range 190 {
		fmt.Fprintf(&b, "  service-%03d:\n    settings: {cold-limit: 4}\n    routes:\n", s)
		for r := range 5 {
			fmt.Fprintf(&b, "      route-%d:\n        path: /path-%d\n        methods: [GET, POST]\n        settings: {class: high, timeout: 1s, idempotent: true}\n", r, r)
		}
	}
	b.WriteString("organisations:\n")
	for o := range 500 {
		fmt.Fprintf(&b, "  organisation-%03d: {rate: %d, burst: %d, weight: 2, timeout: 900ms}\n", o, 100+o, 200+o)
	}
	return []byte(b.String())
}

// BenchmarkTree parses, checks and indexes a tree of the design size.
func BenchmarkTree(b *testing.B) {
	text := designTree()
	b.Logf("text: %d bytes", len(text))
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			if _, err := Tree(text); err != nil {
				b.Fatal(err)
			}
		}
	})
	tr, err := Tree(text)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			tr.Index("zone-00")
		}
	})
	b.Run("memory", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept, _ := Tree(text)
		index := kept.Index("zone-00")
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			index.RouteByName("service-000", "route-0", "organisation-000")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-kept")
		runtime.KeepAlive(kept)
	})
}
