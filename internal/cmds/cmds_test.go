package cmds

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
)

const treeText = "zones: {a: {region: r}, b: {region: r}}\norganisations: {o: {}}\n"

// operatorTest runs operators' commands against a stand-in platform.
type operatorTest struct {
	t        *testing.T
	platform *stub.Stub
}

func newOperatorTest(t *testing.T) (d operatorTest) {
	t.Helper()
	d = operatorTest{t: t, platform: stub.New()}
	server := httptest.NewServer(d.platform.Handler())
	t.Cleanup(server.Close)
	t.Setenv(platformVariable, strings.TrimPrefix(server.URL, "http://"))
	t.Setenv(operatorVariable, "ann")
	t.Setenv(waitVariable, "0s")
	return d
}

// run runs a command and checks its exit status and that its output contains all parts.
func (d operatorTest) run(want int, parts []string, args ...string) (out string) {
	d.t.Helper()
	var stdout, stderr bytes.Buffer
	got := execute(d.t.Context(), append([]string{"quetzalstack"}, args...), streams{&stdout, &stderr})
	if got != want {
		d.t.Errorf("%q: got exit status %d, want %d; output: %s%s", args, got, want, stdout.String(), stderr.String())
	}
	for _, p := range parts {
		if !strings.Contains(stdout.String()+stderr.String(), p) {
			d.t.Errorf("%q: got %s%s, want %q in it", args, stdout.String(), stderr.String(), p)
		}
	}
	return stdout.String()
}

func (d operatorTest) file(name, text string) (path string) {
	d.t.Helper()
	path = filepath.Join(d.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// report writes a zone report as a node would.
func (d operatorTest) report(r admin.ZoneReport) {
	d.t.Helper()
	value, err := json.Marshal(r)
	if err == nil {
		err = d.platform.Commit(d.t.Context(), []mesh.Write{{Key: admin.ZoneKey(r.Zone), Value: value}})
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// TestSettings guards against lost updates, when an operator puts a tree that was made
// from an older version, and against a pending version that is reported as in force.
func TestSettings(t *testing.T) {
	d := newOperatorTest(t)
	first := d.file("tree.yaml", treeText)
	d.run(1, []string{"there are no settings yet"}, "settings", "get")
	d.run(2, []string{"bad.yaml:1: zones.a.region: is missing"}, "settings", "put", d.file("bad.yaml", "zones: {a: {}}"))
	d.run(3, []string{"version 1 accepted", "a: version 1 pending: no host", "still pending"}, "settings", "put", first)
	d.run(1, []string{"start from `settings get`, or give -base 1"}, "settings", "put", first)
	copied := d.file("copy.yaml", d.run(0, nil, "settings", "get"))

	d.report(admin.ZoneReport{Zone: "a", Newest: 2, InForce: 2, Hosts: 3, Suspect: 1})
	d.report(admin.ZoneReport{Zone: "b", Newest: 2, InForce: 1, Hosts: 3, Pending: 1})
	d.run(3, []string{"a: version 2 in force at all 3 live hosts; 1 silent", "b: version 2 pending: at 1 of 3 live hosts (version 1 or later"}, "settings", "put", copied)
	d.run(1, []string{"nothing was changed: ann made version 2 first", "read the tree again"}, "settings", "put", copied)
	d.report(admin.ZoneReport{Zone: "a", Newest: 3, InForce: 3, Hosts: 3})
	d.report(admin.ZoneReport{Zone: "b", Newest: 3, InForce: 3, Hosts: 3})
	d.run(0, []string{"version 3 is in force in all zones"}, "settings", "put", copied, "-base", "2")
	if got := d.run(0, nil, "settings", "get", "-version", "1"); !strings.HasSuffix(got, treeText) || !strings.Contains(got, "read at version 3") {
		t.Errorf("older tree: got %q, want version 1, read at version 3", got)
	}
	d.run(0, []string{"3  ", "1  "}, "settings", "history")
}

// TestKeys guards against keys that are stored in plain text, that cannot be withdrawn, or
// that are reported as withdrawn while a zone still accepts them.
func TestKeys(t *testing.T) {
	d := newOperatorTest(t)
	d.run(3, nil, "settings", "put", d.file("tree.yaml", treeText))
	d.run(1, []string{`organisation "x" is not in the settings tree`}, "key", "give", "x")
	key := strings.TrimSpace(d.run(0, []string{"not shown again"}, "key", "give", "o"))
	other := strings.TrimSpace(d.run(0, nil, "key", "give", "o"))
	listed := d.run(0, []string{"  o  valid"}, "key", "list")
	if len(key) < 26 || strings.Contains(listed, key) {
		t.Errorf("got key %q and list %q, want a long key that is not listed", key, listed)
	}
	d.report(admin.ZoneReport{Zone: "a", Newest: 4, InForce: 3, Hosts: 2, Pending: 2})
	d.run(3, []string{"withdrawal accepted in version 4", "a: version 4 pending", "b: version 4 pending: no host"}, "key", "withdraw", key)
	hash, _, _ := strings.Cut(d.run(0, []string{"withdrawn"}, "key", "list"), " ")
	d.run(3, nil, "key", "withdraw", hash)
	d.run(3, nil, "key", "withdraw", "-wait", "0s", other)
	if got := strings.Count(d.run(0, nil, "key", "list"), "withdrawn"); got != 2 {
		t.Errorf("withdrawn keys: got %d, want 2", got)
	}
	d.run(1, []string{"no such key"}, "key", "withdraw", "nonsense")
	d.run(3, []string{"newest version: 5", "changes of keys pending: 2", "targets: ledger 4", "o: ", " requests a second, burst "}, func() []string {
		d.report(admin.ZoneReport{Zone: "a", InForce: 3, Hosts: 2, At: time.Now(), Targets: map[mesh.ServiceName]int{"ledger": 4}})
		return []string{"status"}
	}()...)
}

// TestMistakes guards against error messages that do not say how to proceed.
func TestMistakes(t *testing.T) {
	d := newOperatorTest(t)
	d.run(2, []string{"use get, put FILE or history"}, "settings", "take")
	d.run(2, []string{"use give ORGANISATION"}, "key")
	d.run(2, []string{"name at least one file"}, "check")
	d.run(0, []string{"quetzalstack "}, "version")
	d.run(0, []string{"A refused", "-base", "Exit status"}, "help", "settings")
	d.platform.SetFaults(stub.Faults{Down: true})
	d.run(1, []string{"check the address given with -platform"}, "status")
	t.Setenv(platformVariable, "nowhere")
	d.run(2, []string{"$QUETZAL_PLATFORM", "write an IP address and port"}, "status")
	t.Setenv(platformVariable, "")
	d.run(2, []string{"give it with -platform or $QUETZAL_PLATFORM"}, "status")
}

// TestCheck guards against files that are validated as the wrong kind, and against a zero
// exit status when a file is invalid.
func TestCheck(t *testing.T) {
	d := newOperatorTest(t)
	t.Setenv(secretsVariable, "")
	good := d.file("tree.yaml", treeText)
	d.run(0, []string{"no problems"}, "check", good, "../../examples/hatian.yaml", "../../examples/association.yaml")
	d.run(2, []string{"tree.yaml: no problems", "bad.yaml:1: zones.a.region", "bad.yaml:2: services.s.routes"}, "check", good, d.file("bad.yaml", "zones: {a: {}}\nservices: {s: {}}\n"))
	d.run(2, []string{"zone is missing", "caller-listen is missing", "secrets"}, "check", d.file("node.yaml", "peers: []\n"))
	d.run(2, []string{"no such file"}, "check", "absent.yaml")
}
