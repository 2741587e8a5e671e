package cmds

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/sample"
)

type platformCommand struct{ listen addrFlag }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run an in-memory stand-in for the platform" }

func (*platformCommand) Usage() string {
	return `platform -listen ADDR
  Runs a stand-in for the platform's table service and object store, for demos
  and tests only. All data is kept in memory.
`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.listen, "listen", "IP address and port to listen on")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	listener, err := net.Listen("tcp", c.listen.String())
	if err != nil {
		return fail(os.Stderr, err)
	}
	server := &http.Server{Handler: stub.New().Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}

type sampleCommand struct {
	listen      addrFlag
	node        addrFlag
	service     string
	slots       int
	serviceTime time.Duration
	nestedPath  string
}

func (*sampleCommand) Name() string     { return "sample" }
func (*sampleCommand) Synopsis() string { return "run a sample target" }

func (*sampleCommand) Usage() string {
	return `sample -listen ADDR -node ADDR -service NAME [-slots N] [-work TIME] [-deeper PATH]
  Runs a target that announces itself to its node, for demos and tests.
`
}

func (c *sampleCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.listen, "listen", "IP address and port to listen on")
	f.Var(&c.node, "node", "address of the node's local listener")
	f.StringVar(&c.service, "service", "", "service of the target")
	f.IntVar(&c.slots, "slots", 8, "number of requests that run concurrently")
	f.DurationVar(&c.serviceTime, "work", time.Millisecond, "service time of a request")
	f.StringVar(&c.nestedPath, "deeper", "", "path of a nested call that each request makes")
}

func (c *sampleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	listener, err := net.Listen("tcp", c.listen.String())
	if err != nil {
		return fail(os.Stderr, err)
	}
	options := []sample.Option{sample.WithSlots(c.slots), sample.WithServiceTime(c.serviceTime)}
	if c.nestedPath != "" {
		options = append(options, sample.WithNestedCalls(c.nestedPath))
	}
	if err := sample.New(mesh.ServiceName(c.service), c.node.addr, options...).Run(ctx, listener); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
