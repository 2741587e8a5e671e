package link

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
)

// Pools holds the pools of connections to many addresses. It is safe for concurrent use.
type Pools struct {
	options []Option

	mu    sync.Mutex
	pools map[netip.AddrPort]*Pool
}

// NewPools returns an empty set of pools. Each gets the options.
func NewPools(options ...Option) (l *Pools) {
	return &Pools{options: options, pools: make(map[netip.AddrPort]*Pool)}
}

// Get returns the pool of connections to an address.
func (l *Pools) Get(addr netip.AddrPort) (p *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, found := l.pools[addr]
	if !found {
		p = NewPool(addr, l.options...)
		l.pools[addr] = p
	}
	return p
}

// Mixed returns the number of times that the remote ends were found to mix up their answers.
func (l *Pools) Mixed() (n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		n += p.Mixed()
	}
	return n
}

// AwaitRests blocks until the remote ends have what is left of the bodies of answered requests, or ctx
// is done.
func (l *Pools) AwaitRests(ctx context.Context) {
	l.mu.Lock()
	pools := slices.Collect(maps.Values(l.pools))
	l.mu.Unlock()
	for _, p := range pools {
		p.AwaitRests(ctx)
	}
}
