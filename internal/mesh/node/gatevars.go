package node

import (
	"expvar"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
)

// targetVars are the metrics of one target. Only the gate duty writes them.
type targetVars struct {
	limit, inFlight, queued *expvar.Int

	// level is the admission level: the least important class that is accepted.
	level *expvar.String

	// refused counts refusals by their code.
	refused *expvar.Map
}

func newTargetVars(vars *expvar.Map, addr netip.AddrPort) (v targetVars) {
	v = targetVars{
		limit: new(expvar.Int), inFlight: new(expvar.Int), queued: new(expvar.Int),
		level: new(expvar.String), refused: new(expvar.Map),
	}
	target := new(expvar.Map)
	target.Set("limit", v.limit)
	target.Set("in-flight", v.inFlight)
	target.Set("queued", v.queued)
	target.Set("level", v.level)
	target.Set("refused", v.refused)
	vars.Set(addr.String(), target)
	return v
}

func (v targetVars) update(now time.Time, g *gate.Gate) {
	v.limit.Set(int64(g.Limit()))
	v.inFlight.Set(int64(g.InFlight()))
	v.queued.Set(int64(g.Queued()))
	v.level.Set(g.Level(now).String())
}
