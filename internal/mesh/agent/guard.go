package agent

import (
	"context"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

// guardInterval is the least time between two log lines about connections that were turned away.
// They come by the thousand when a crowd of clients exceeds the limits.
const guardInterval = time.Second

// guardDuty logs how many connections the account of memory and sockets has turned away. It has no
// ring: the counts are in the account, and one signal says the same as many.
type guardDuty struct {
	account *memory.Account
	log     logs.Log
}

// Name implements mesh.Duty.
func (d *guardDuty) Name() string { return "guard" }

// Run implements mesh.Duty.
func (d *guardDuty) Run(ctx context.Context) (err error) {
	var last memory.Counts
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.account.Turned():
		}
		sleep(ctx, guardInterval)
		now := d.account.Counts()
		d.log.InfoFields("connections were turned away", logs.Fields{
			"evicted": now.Evicted - last.Evicted, "refused": now.Refused - last.Refused, "closed": now.Closed - last.Closed,
			"malformed": now.Malformed - last.Malformed, "memory-used": now.Used, "sockets": now.Open,
		})
		last = now
	}
}
