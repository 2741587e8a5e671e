package node

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// nodeVariable is the environment variable with the settings of a node. When it is
// set, the test binary runs that node instead of the tests.
const nodeVariable = "QUETZAL_TEST_NODE"

// TestMain runs the tests, or one node when nodeVariable is set.
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
