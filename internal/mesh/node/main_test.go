package node

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// nodeVariable holds the settings of a node that the test binary is to run
// instead of the tests.
const nodeVariable = "QUETZAL_TEST_NODE"

// TestMain runs the tests, or one node when the binary is started as a process
// of its own.
func TestMain(m *testing.M) {
	text := os.Getenv(nodeVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	if err := runNode([]byte(text)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runNode(text []byte) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := ParseSettings(text, nil)
	if err != nil {
		return err
	}
	n, err := New(settings)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
