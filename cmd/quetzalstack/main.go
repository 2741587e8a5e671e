// Command quetzalstack runs a node of the overload control layer and gives
// operators access to its settings and keys.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/quetzalstack/quetzalstack/internal/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cmds.Execute(ctx, os.Args)
	stop()
	os.Exit(status)
}
