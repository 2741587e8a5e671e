package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplain guards against output with lines about other requests, with missing lines or
// in the wrong order.
func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "nodes.log")
	text := `  2.5 host-b {"level":"info","msg":"front: attempt failed","request":"r1.c1","code":"overloaded","time":"2026-12-04T10:00:02Z"}
  1.5 host-a {"level":"info","msg":"front: request refused","request":"r1","code":"answer-lost","time":"2026-12-04T10:00:03Z"}
  1.5 host-a {"level":"info","msg":"front: request refused","request":"r10","code":"no-target","time":"2026-12-04T10:00:01Z"}
  1.6 host-a panic: {r1
`
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if got := execute(context.Background(), []string{"quetzalstack", "explain", "r1", name}, streams{&out, &errs}); got != exitOK {
		t.Fatalf("got status %d (%s), want %d", got, errs.String(), exitOK)
	}
	want := "2.5 host-b 2026-12-04T10:00:02Z front: attempt failed code=overloaded request=r1.c1\n" +
		"1.5 host-a 2026-12-04T10:00:03Z front: request refused code=answer-lost request=r1\n"
	if got := out.String(); got != want {
		t.Errorf("got:\n%swant:\n%s", got, want)
	}
	if got := execute(context.Background(), []string{"quetzalstack", "explain", "r2", name}, streams{&out, &errs}); got != exitUsage {
		t.Errorf("unknown request: got status %d, want %d", got, exitUsage)
	}
	if !strings.Contains(errs.String(), `"r2"`) {
		t.Errorf("unknown request: got %q, want the id named", errs.String())
	}
}
