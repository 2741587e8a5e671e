package node

import (
	"expvar"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
)

// targetVars are the published values of one target. Only the gate duty
// writes them.
type targetVars struct {
	limit, inFlight, queued *expvar.Int

	// level is the name of the least important class that is accepted.
	level *expvar.String

	// refused counts refusals by their code.
	refused *expvar.Map
}

func newTargetVars(vars *expvar.Map, addr netip.AddrPort) (v targetVars) {
	v = targetVars{
		limit: new(expvar.Int), inFlight: new(expvar.Int), queued: new(expvar.Int),
		level: new(expvar.String), refused: new(expvar.Map),
	}
	own := new(expvar.Map)
	own.Set("limit", v.limit)
	own.Set("in-flight", v.inFlight)
	own.Set("queued", v.queued)
	own.Set("level", v.level)
	own.Set("refused", v.refused)
	vars.Set(addr.String(), own)
	return v
}

func (v targetVars) show(now time.Time, g *gate.Gate) {
	v.limit.Set(int64(g.Limit()))
	v.inFlight.Set(int64(g.InFlight()))
	v.queued.Set(int64(g.Queued()))
	v.level.Set(g.Level(now).String())
}
