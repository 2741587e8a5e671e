package admin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
)

// randomBelow returns a random duration below limit, in whole nanoseconds: two events
// then hardly ever happen at the same instant, so that the order of events depends
// only on the seed.
func randomBelow(random *rand.Rand, limit time.Duration) (d time.Duration) {
	return time.Duration(random.Int64N(int64(limit)))
}

// slowPlatform adds a random delay to each request, and the request timeout of the
// platform's client.
type slowPlatform struct {
	mesh.Platform
	random *rand.Rand
}

func (p slowPlatform) delay(ctx context.Context) (limited context.Context, cancel context.CancelFunc) {
	time.Sleep(randomBelow(p.random, 300*time.Millisecond))
	return context.WithTimeout(ctx, 2*time.Second)
}

func (p slowPlatform) Read(ctx context.Context, key string) (row mesh.Row, found bool, err error) {
	ctx, cancel := p.delay(ctx)
	defer cancel()
	return p.Platform.Read(ctx, key)
}

func (p slowPlatform) Commit(ctx context.Context, writes []mesh.Write) (err error) {
	ctx, cancel := p.delay(ctx)
	defer cancel()
	return p.Platform.Commit(ctx, writes)
}

func (p slowPlatform) Put(ctx context.Context, name string, data []byte) (err error) {
	ctx, cancel := p.delay(ctx)
	defer cancel()
	return p.Platform.Put(ctx, name, data)
}

// treeText returns a valid settings tree that is unique for n.
func treeText(n int) (text []byte) {
	return fmt.Appendf(nil, "settings: {timeout: %dms}\nzones: {a: {region: r}}\norganisations: {o: {}}\n", 100+n)
}

// input is an operation of an operator.
type input struct {
	op   string
	base uint64
	text string
	key  string
}

// output is the result of an operation.
type output struct {
	result  string
	version uint64
	state   state
}

// state is the content of the platform's store in the model.
type state struct {
	version, tree uint64
	text          string

	// keys lists key=withdrawn, sorted.
	keys string
}

func (s state) key(name string) (known, withdrawn bool) {
	return strings.Contains(s.keys, name+"="), strings.Contains(s.keys, name+"=true;")
}

// next returns the state after a successful change.
func (s state) next(in input) (next state) {
	next = s
	next.version++
	switch in.op {
	case "put":
		next.tree, next.text = next.version, in.text
	case "give":
		list := append(strings.SplitAfter(s.keys, ";"), in.key+"=false;")
		slices.Sort(list)
		next.keys = strings.Join(list, "")
	case "withdraw":
		next.keys = strings.Replace(s.keys, in.key+"=false;", in.key+"=true;", 1)
	}
	return next
}

// applies reports whether a change may succeed in this state.
func (s state) applies(in input) (succeeds bool) {
	known, withdrawn := s.key(in.key)
	switch in.op {
	case "put":
		return s.tree <= in.base
	case "give":
		return s.tree > 0 && !known
	default:
		return known && !withdrawn
	}
}

// operatorModel is the sequential model of settings and keys, for the
// linearizability check.
var operatorModel = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, i, o any) (bool, any) { return stepModel(s.(state), i.(input), o.(output)) },
}

func stepModel(s state, in input, out output) (valid bool, next any) {
	_, withdrawn := s.key(in.key)
	switch {
	case in.op == "get":
		return out.state == s, s
	case out.result == "ok" && in.op == "withdraw" && withdrawn:
		return out.version == s.version, s
	case out.result == "ok":
		return s.applies(in) && out.version == s.version+1, s.next(in)
	case out.result == "conflict":
		return s.tree > in.base && out.version == s.tree, s
	case out.result == "unknown" && s.applies(in):
		// A change that never takes effect is ordered after all others.
		return true, s.next(in)
	default:
		return true, s
	}
}

// operator is a client of the platform that records its operations.
type operator struct {
	platform mesh.Platform
	clock    *atomic.Int64
	number   int
	random   *rand.Rand
	record   []porcupine.Operation
}

func (o *operator) do(ctx context.Context, in input) {
	called := o.clock.Add(1)
	out, definite := o.send(ctx, in)
	op := porcupine.Operation{ClientId: o.number, Input: in, Call: called, Output: out, Return: o.clock.Add(1)}
	if out.result == "unknown" {
		op.Return = math.MaxInt64
	}
	if definite {
		o.record = append(o.record, op)
	}
}

// send performs an operation. It reports false for a failed operation that has no
// result and changed nothing.
func (o *operator) send(ctx context.Context, in input) (out output, definite bool) {
	var head Head
	var err error
	by := fmt.Sprint("operator-", o.number)
	switch in.op {
	case "put":
		head, err = PutSettings(ctx, o.platform, by, []byte(in.text), WithBase(in.base))
	case "give":
		head, err = AddKey(ctx, o.platform, by, "o", mesh.HashKey(in.key))
	case "withdraw":
		head, err = WithdrawKey(ctx, o.platform, by, mesh.HashKey(in.key))
	case "get":
		out.state, err = o.get(ctx)
		return out, err == nil
	}
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		return output{result: "ok", version: head.Version}, true
	case errors.As(err, &unknown):
		return output{result: "unknown"}, true
	case errors.As(err, &conflict):
		return output{result: "conflict", version: conflict.Winner.Version}, true
	default:
		return out, false
	}
}

func (o *operator) get(ctx context.Context) (s state, err error) {
	head, snapshot, err := Current(ctx, o.platform)
	if err != nil {
		return s, err
	}
	s = state{version: head.Version, tree: head.TreeVersion, text: string(snapshot.Text)}
	var list []string
	for _, name := range keyNames {
		if k, found := snapshot.Keys[mesh.HashKey(name)]; found {
			list = append(list, fmt.Sprintf("%s=%t;", name, k.Withdrawn))
		}
	}
	slices.Sort(list)
	s.keys = strings.Join(list, "")
	return s, nil
}

var keyNames = []string{"k0", "k1", "k2", "k3", "k4", "k5"}

// work performs random operations that often conflict with those of other operators.
func (o *operator) work(ctx context.Context, count int) {
	for range count {
		time.Sleep(randomBelow(o.random, 3000*time.Millisecond))
		key := keyNames[o.random.IntN(len(keyNames))]
		switch o.random.IntN(4) {
		case 0:
			head, err := ReadHead(ctx, o.platform)
			if err != nil {
				continue
			}
			time.Sleep(randomBelow(o.random, 1000*time.Millisecond))
			o.do(ctx, input{op: "put", base: head.Version, text: string(treeText(o.random.IntN(1000)))})
		case 1:
			o.do(ctx, input{op: "give", key: key})
		case 2:
			o.do(ctx, input{op: "withdraw", key: key})
		default:
			o.do(ctx, input{op: "get"})
		}
	}
}

// injectFaults enables random faults one after the other until ctx is done. Half of
// the periods with lost answers or late writes are followed by an outage that lasts
// longer than all retries of a change, so that some outcomes stay unknown.
func injectFaults(ctx context.Context, s *stub.Stub, random *rand.Rand) {
	for ctx.Err() == nil {
		f := stub.Faults{LateBy: randomBelow(random, 15*time.Second), Every: 1 + random.IntN(4)}
		last := randomBelow(random, 15*time.Second)
		outage := false
		switch random.IntN(6) {
		case 0:
			f.Down = true
		case 1:
			f.Delay = randomBelow(random, 4*time.Second)
		case 2, 3:
			f.LoseAnswers = 1 + random.IntN(20)
			last, outage = last/5, random.IntN(2) == 0
		case 4:
			f.LateWrites = 1 + random.IntN(20)
			last, outage = last/5, random.IntN(2) == 0
		}
		s.SetFaults(f)
		sleep(ctx, last)
		if outage {
			s.SetFaults(stub.Faults{Down: true})
			sleep(ctx, 15*time.Second+randomBelow(random, 5*time.Second))
		}
	}
}

// TestOperatorsModel guards against operators who overwrite each other's changes or
// get a wrong result. The platform loses answers, delays writes and is unavailable
// at times, and the history of all operations must be linearizable.
func TestOperatorsModel(t *testing.T) {
	results := make(map[string]int)
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			record := runOperators(t, seed)
			if got := porcupine.CheckOperationsTimeout(operatorModel, record, time.Minute); got != porcupine.Ok {
				t.Errorf("seed %d: history of %d changes: got %v, want %v", seed, len(record), got, porcupine.Ok)
			}
			for _, op := range record {
				results[op.Input.(input).op+" "+op.Output.(output).result]++
			}
		})
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		t.Logf("%s: %d", name, results[name])
	}
}

func runOperators(t *testing.T, seed uint64) (record []porcupine.Operation) {
	s := stub.New()
	ctx, cancel := context.WithCancel(t.Context())
	var clock atomic.Int64
	var running sync.WaitGroup
	var all []*operator
	done := make(chan struct{})
	go func() {
		defer close(done)
		injectFaults(ctx, s, rand.New(rand.NewPCG(seed, 0)))
	}()
	for i := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		o := &operator{platform: slowPlatform{s, random}, clock: &clock, number: i, random: random}
		all = append(all, o)
		running.Go(func() { o.work(ctx, 16) })
	}
	running.Wait()
	cancel()
	<-done
	s.SetFaults(stub.Faults{})
	time.Sleep(time.Minute)
	all[0].do(t.Context(), input{op: "get"})
	for _, o := range all {
		record = append(record, o.record...)
	}
	return record
}
