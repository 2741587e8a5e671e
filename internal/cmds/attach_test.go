package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
)

// TestHangup guards against a node that exits on SIGHUP, with or without a valid settings
// file.
func TestHangup(t *testing.T) {
	var out bytes.Buffer
	logger, err := logs.New(&out, logs.FormatJSON)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(name, []byte("zone = 7"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &hangupDuty{file: name, log: logs.WithPrefix(logger, "settings")}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- d.Run(ctx) }()
	time.Sleep(50 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	cancel()
	if err := <-done; err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if got := out.String(); !strings.Contains(got, "stay") {
		t.Errorf("got log %q, want a line that states that the settings in force stay", got)
	}
}

// TestAttachSettings guards against an error for invalid settings that does not name the
// file and every invalid field.
func TestAttachSettings(t *testing.T) {
	name := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(name, []byte("zone = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if got := execute(context.Background(), []string{"quetzalstack", "attach", "-settings", name}, streams{&out, &errs}); got != exitUsage {
		t.Errorf("got status %d, want %d", got, exitUsage)
	}
	for _, want := range []string{name, "service is missing", "listen.outbound", "platform.address"} {
		if !strings.Contains(errs.String(), want) {
			t.Errorf("got %q, want %q named", errs.String(), want)
		}
	}
}
