package cmds

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/agent"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	bridge "github.com/quetzalstack/quetzalstack/platform"
)

// attachedGCPercent makes the garbage collector run more often than the default of 100,
// to save memory on small hosts. The heap of a node is a few MB, so a collection is cheap.
const attachedGCPercent = 60

// attachedMemoryShare is the share of the machine's memory from which on the garbage collector runs more
// often than that. The rest is for what it does not see, and for what is allocated while it runs. It
// bounds garbage alone: what is in use is bounded by the account of the node (memory.Account).
const attachedMemoryShare = 0.7

type attachCommand struct {
	streams
	file string
}

func (*attachCommand) Name() string { return "attach" }
func (*attachCommand) Synopsis() string {
	return "run the node of a host, configured by the users' platform"
}

func (*attachCommand) Usage() string {
	return `attach [-settings FILE]
  Runs the node of a host until SIGTERM. Rules and targets come from the users'
  platform, and requests use its headers. See docs/PLATFORM.md.
`
}

func (c *attachCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(bridge.SettingsVariable), "the platform's settings file ($"+bridge.SettingsVariable+")")
}

func (c *attachCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) (status subcommands.ExitStatus) {
	queue := logs.NewQueue(c.out)
	logger, err := logs.New(queue, logs.FormatJSON)
	if err != nil {
		return fail(c.err, err)
	}
	settings, err := bridge.ReadSettings(c.file)
	if err != nil {
		return usage(c.err, "%v", err)
	}
	debug.SetGCPercent(attachedGCPercent)
	if settings.Node.Memory > 0 {
		debug.SetMemoryLimit(int64(attachedMemoryShare * float64(settings.Node.Memory)))
	}
	store := bridge.NewStore(settings.Store, logs.WithPrefix(logger, "store"))
	node, err := agent.New(settings.Node, agent.Platform{
		Source: store, Registry: store, Usage: store, Rollouts: store, Dialect: bridge.Dialect{},
		Reports: bridge.Reports(logs.WithPrefix(logger, "reports")),
	}, agent.WithLogger(logger))
	if err != nil {
		return fail(c.err, err)
	}
	hangups := &hangupDuty{file: c.file, running: settings, log: logs.WithPrefix(logger, "settings")}
	if err := runLogged(ctx, queue, hangups, node.Run); err != nil {
		return fail(c.err, err)
	}
	return subcommands.ExitSuccess
}

// readRollouts returns the roll-outs on the users' platform that a settings file names. Malformed
// records are reported to messages.
func readRollouts(ctx context.Context, file string, messages io.Writer) (rollouts []mesh.Rollout, err error) {
	settings, err := bridge.ReadSettings(file)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(messages)
	return bridge.NewStore(settings.Store, logs.WithPrefix(logger, "store")).Rollouts(ctx)
}

// hangupDuty handles SIGHUP, which signals a change of the settings file. It only validates
// the file, because the addresses of a running node cannot change.
type hangupDuty struct {
	file    string
	running bridge.Settings
	log     logs.Log
}

// Name implements mesh.Duty.
func (d *hangupDuty) Name() string { return "hangup" }

// Run implements mesh.Duty.
func (d *hangupDuty) Run(ctx context.Context) (err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			d.check()
		}
	}
}

func (d *hangupDuty) check() {
	found, err := bridge.ReadSettings(d.file)
	if err != nil {
		d.log.Errorf("settings file is invalid; the settings in force stay: %v", err)
		return
	}
	d.log.InfoFields("settings file is valid; changes take effect at the next start", logs.Fields{"file": d.file, "changed": found != d.running})
}

// runLogged runs work, the SIGHUP handler and the log queue. The queue stops last, so
// that the final log lines are written.
func runLogged(ctx context.Context, queue *logs.Queue, hangups mesh.Duty, work func(ctx context.Context) error) (err error) {
	var group run.Group
	hangupContext, stopHangups := context.WithCancel(context.Background())
	group.Add(func() error { return hangups.Run(hangupContext) }, func(error) { stopHangups() })
	queueContext, stopQueue := context.WithCancel(context.Background())
	workContext, cancelWork := context.WithCancel(ctx)
	group.Add(func() error { return work(workContext) }, func(error) { cancelWork() })
	group.Add(func() error { return queue.Run(queueContext) }, func(error) { stopQueue() })
	return group.Run()
}

// manifestForm is the configuration on the users' platform.
var manifestForm = &form{
	name:     "manifest",
	naming:   bridge.ManifestNaming,
	withKeys: true,
	parse: func(file string, text []byte) (rules *mesh.Rules, problems []auditFinding) {
		rules, err := bridge.ParseRules(text)
		if err != nil {
			return nil, []auditFinding{newProblem(file, 1, "", err.Error())}
		}
		return rules, nil
	},
	inForce: func(ctx context.Context, addr netip.AddrPort) (rules *mesh.Rules, err error) {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		return bridge.NewStore(addr, logs.WithPrefix(quiet, "store")).InForce(ctx)
	},
}
