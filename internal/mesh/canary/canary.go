// Package canary decides on roll-outs: how much of a service's traffic the new version gets, and
// whether the roll-out is completed or rolled back.
//
// The new version gets a few per cent of the requests for most of the time, and all of them only
// shortly before the time limit. A version that turns bad at any time up to the limit then has
// got no more than its allowed share of all requests. Once it gets all, the targets of the old
// version finish what they run, and the roll-out is complete.
package canary

import (
	"fmt"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// settleTime is the time from the order until the new version gets its first requests. In it
	// the order reaches all hosts and the rate of the service is measured. It is at most
	// settleFraction of the time limit.
	settleTime     = time.Second
	settleFraction = 0.1

	// canaryFraction is the fraction of the allowed exposure that the first stage uses, and
	// maxCanaryShare the most that it exposes of the requests of a service with little traffic.
	canaryFraction = 0.2
	maxCanaryShare = 0.2

	// usableShare and usableSlack are the parts of the allowed share and slack that are planned
	// with. The rest absorbs a change of the rate and requests between two reports.
	usableShare = 0.8
	usableSlack = 0.5

	// partialShare is the share of the second stage, for partialTime. It shows a version that is
	// bad under load before all callers see it. There is time for it only where the allowed
	// exposure amounts to partialMinBudget of all requests.
	partialShare     = 0.25
	partialTime      = time.Second
	partialMinBudget = 2 * time.Second

	// switchTime is the time that the last stage needs: the hosts hear of it, the targets of the
	// old version finish, and the completion is stored. It begins that long before the limit even
	// where the new version then could get more than the allowed share, if it turned bad without
	// being noticed.
	switchTime = 700 * time.Millisecond

	// minHold is the time for which the new version gets all requests before the roll-out is
	// complete. It is half of the time that is left then, and all but completeMargin where that is
	// more: the last stage is the first that shows a version which is bad under load, and a
	// completion cannot be taken back. completeMargin lets another host take over the decision.
	// minHoldAnswers are awaited besides, until storeTime before the limit, which storing the
	// completion takes.
	minHold        = 300 * time.Millisecond
	completeMargin = 2 * time.Second
	minHoldAnswers = 20
	storeTime      = 150 * time.Millisecond

	// unheardWait is the time after the limit for which a host that does not hear the whole fleet
	// leaves the end of the roll-out to one that may hear it.
	unheardWait = 2 * time.Second

	// drainLimit is the time after the limit by which the requests that the old version still
	// ran at the limit have reached their own deadlines.
	drainLimit = 10 * time.Second

	// targetWait is the fraction of the time limit for which targets of the new version are
	// awaited.
	targetWait = 0.5

	// faultedShare is the share of the requests whose hosts have found the new version bad from
	// which on it is rolled back although the deciding host has not. The rest of the requests may
	// not be enough for it to find out; a smaller share may have been misled by what it alone sees.
	faultedShare = 0.5

	// spareSlots is the factor by which the slots of the new version have to exceed the requests
	// that the old one runs.
	spareSlots = 1.2
)

// Bounds limit the exposure of callers to a new version.
type Bounds struct {
	// Share is the share of all requests of the service from the order to its time limit that a
	// bad version may get, and Slack a number of requests that it may get besides.
	Share, Slack float64

	// Rollback is the time from the bad answer that makes a version bad until it gets no more
	// requests.
	Rollback time.Duration
}

// Target is a target of the service as its host reports it.
type Target struct {
	// Version is empty while it is not known.
	Version mesh.VersionName

	Slots int
	Cold  bool

	// Running is the number of requests at the target and in front of it.
	Running int

	// Step is the step of the roll-out that is in force at the target's host.
	Step uint64
}

// Stage identifies a step of an order.
type Stage struct {
	Revision mesh.StoreVersion
	Step     uint64
}

// Fleet is what the deciding host knows about the targets of the service.
type Fleet struct {
	// ServiceKnown is true when the operators' rules name the service or a target runs it.
	ServiceKnown bool

	Targets []Target

	// Faulted is the share of the requests, from 0 to 1, that come from hosts which have found the
	// new version bad and send it no more of them. FaultReason is what one of them has found;
	// empty when there is none.
	Faulted     float64
	FaultReason string

	// Unheard says which part of the fleet is not heard; empty when all zones and most hosts are.
	// That part, or this host, is probably cut off, and its targets run requests that nobody
	// here knows of. Then only a step back may be decided.
	Unheard string
}

// count returns the targets of the new version that are heard, the warm ones of them and their
// slots.
func (f *Fleet) count(to mesh.VersionName) (targets, warm, slots int) {
	for _, t := range f.Targets {
		if t.Version != to {
			continue
		}
		targets++
		if !t.Cold {
			warm++
			slots += t.Slots
		}
	}
	return targets, warm, slots
}

// others returns the number of targets of other versions, those of unknown version among them,
// and the requests that the others run.
func (f *Fleet) others(to mesh.VersionName) (targets, unknown, running int) {
	for _, t := range f.Targets {
		if t.Version == to {
			continue
		}
		targets++
		running += t.Running
		if t.Version == "" {
			unknown++
		}
	}
	return targets, unknown, running
}

// idle reports whether no target of another version runs or takes requests, at a step.
func (f *Fleet) idle(to mesh.VersionName, step uint64) bool {
	for _, t := range f.Targets {
		if t.Version != to && (t.Running > 0 || t.Step < step) {
			return false
		}
	}
	return true
}

// Controller decides on one order. Every host has one, compares the versions with it and stops
// requests to a bad version by itself; only the deciding host stores its decisions. It is not
// safe for concurrent use.
type Controller struct {
	bounds  Bounds
	order   mesh.RolloutOrder
	monitor Monitor

	// ordered is the time of the order on this host's clock, as far as it knows.
	ordered time.Time

	// record is the record in force; nil while none is known. since is when it was heard.
	record *mesh.Rollout
	since  time.Time

	// answersAtStep is the number of compared answers when the record was heard.
	answersAtStep uint64

	// withdrawn is true when the operator has taken the order back.
	withdrawn bool

	// fault is the reason why this host sends no requests to the new version, whatever the record
	// says; empty when there is none. It is never cleared.
	fault string

	toNew, all uint64

	// rate is the rate of the service in requests per second; zero while it is not known.
	rate       float64
	rateBase   uint64
	rateBaseAt time.Time
}

// New returns the controller of an order that was heard at now.
func New(now time.Time, order mesh.RolloutOrder, bounds Bounds) (c *Controller) {
	return &Controller{bounds: bounds, order: order, ordered: now, since: now}
}

// Order returns the order.
func (c *Controller) Order() (o mesh.RolloutOrder) { return c.order }

// Record returns the record in force, or nil.
func (c *Controller) Record() (r *mesh.Rollout) { return c.record }

// Fault returns the reason why this host sends no requests to the new version; empty if none.
func (c *Controller) Fault() (reason string) { return c.fault }

// Ended reports whether the record in force is final.
func (c *Controller) Ended() bool { return c.record != nil && c.record.State != mesh.RolloutRunning }

// Since returns when the record in force was heard.
func (c *Controller) Since() (at time.Time) { return c.since }

// Exposure returns the numbers of requests sent to the new version and to all targets.
func (c *Controller) Exposure() (toNew, all uint64) { return c.toNew, c.all }

// Elapsed returns the time since the order.
func (c *Controller) Elapsed(now time.Time) (d time.Duration) { return now.Sub(c.ordered) }

// Withdraw records that the operator has taken the order back.
func (c *Controller) Withdraw() { c.withdrawn = true }

// Rename takes over the revision of an order that repeats this one. The progress stays.
func (c *Controller) Rename(revision mesh.StoreVersion) {
	c.order.Revision = revision
	if c.record != nil {
		renamed := *c.record
		renamed.Order.Revision = revision
		c.record = &renamed
	}
}

// Adopt takes over the record that is stored, if it supersedes the one in force. A final record
// never changes.
func (c *Controller) Adopt(now time.Time, r mesh.Rollout) (adopted bool) {
	if r.Order.Revision != c.order.Revision || c.Ended() {
		return false
	}
	// A host that has just started knows the time of the order from the others alone.
	if at := now.Add(-r.Elapsed); at.Before(c.ordered) {
		c.ordered = at
	}
	if c.record != nil && !r.Supersedes(c.record) {
		return false
	}
	c.record, c.since, c.answersAtStep = &r, now, c.monitor.Answers()
	return true
}

// Observe records the counts of all hosts at now and compares the versions.
func (c *Controller) Observe(now time.Time, totals Totals) {
	c.toNew, c.all = totals.sent()
	switch elapsed := now.Sub(c.rateBaseAt); {
	case c.rateBaseAt.IsZero():
		c.rateBase, c.rateBaseAt = c.all, now
	case elapsed >= time.Second:
		c.rate = float64(saturatingSub(c.all, c.rateBase)) / elapsed.Seconds()
		c.rateBase, c.rateBaseAt = c.all, now
	}
	c.monitor.Observe(now, totals)
	if c.fault != "" || c.Ended() {
		return
	}
	if bad, reason := c.monitor.Verdict(); bad {
		c.fault = reason
	}
}

// Share returns the share of the requests that this host sends to the new version.
func (c *Controller) Share(now time.Time) (share float64) {
	switch {
	case c.record == nil:
		return 0
	case c.Ended():
		return c.record.Share
	case c.fault != "", c.withdrawn:
		return 0
	case c.record.Share < 1 && c.Elapsed(now) > c.order.Limit+c.bounds.Rollback:
		// Nobody has decided in time, or this host has not heard of it.
		return 0
	default:
		return c.record.Share
	}
}

// Next returns the next record, if this host were to decide now.
func (c *Controller) Next(now time.Time, f Fleet) (next mesh.Rollout, changed bool) {
	if c.Ended() {
		return next, false
	}
	state, share, reason := c.decide(now, f)
	if c.record != nil && state == c.record.State && share == c.record.Share {
		return next, false
	}
	next = mesh.Rollout{Order: c.order, State: state, Step: 1, Share: share, Elapsed: c.Elapsed(now), Reason: reason}
	if c.record != nil {
		next.Step = c.record.Step + 1
	}
	return next, true
}

// decide returns the state and the share that are right now.
func (c *Controller) decide(now time.Time, f Fleet) (state mesh.RolloutState, share float64, reason string) {
	elapsed := c.Elapsed(now)
	targets, warm, _ := f.count(c.order.To)
	others, unknown, _ := f.others(c.order.To)
	if c.record != nil {
		share = c.record.Share
	}
	exposed := share > 0
	switch {
	case c.withdrawn:
		return mesh.RolloutWithdrawn, 0, "the operator has taken the order back"
	case c.fault != "":
		return mesh.RolloutRolledBack, 0, c.fault
	case f.FaultReason != "" && f.Faulted >= faultedShare:
		return mesh.RolloutRolledBack, 0, f.FaultReason
	case !f.ServiceKnown && f.Unheard == "" && elapsed >= c.settleTime():
		return mesh.RolloutRejected, 0, fmt.Sprintf("service %q is not known", c.order.Service)
	case !exposed && targets > 0 && others == 0 && f.Unheard == "":
		return mesh.RolloutRejected, 1, fmt.Sprintf("all targets of service %q run version %q already", c.order.Service, c.order.To)
	case targets == 0 && unknown == 0 && f.Unheard == "" && elapsed >= time.Duration(targetWait*float64(c.order.Limit)) && !exposed:
		return mesh.RolloutRejected, 0, fmt.Sprintf("no target of service %q runs version %q after %v", c.order.Service, c.order.To, elapsed.Round(time.Millisecond))
	case targets == 0 && share == 1:
		return mesh.RolloutRolledBack, 0, fmt.Sprintf("no target of version %q is left", c.order.To)
	case share == 1:
		return c.decideFull(now, f)
	case elapsed >= c.order.Limit && f.Unheard == "", elapsed >= c.order.Limit+unheardWait:
		return mesh.RolloutRolledBack, 0, "the time limit was reached: " + c.blocker(f)
	case f.Unheard != "":
		return mesh.RolloutRunning, share, "the order was received; " + f.Unheard
	case share == 0:
		return c.decideStart(elapsed, warm)
	default:
		return c.decideRaise(now, f, share)
	}
}

// blocker returns what keeps the new version from getting all requests, in words.
func (c *Controller) blocker(f Fleet) (reason string) {
	targets, warm, slots := f.count(c.order.To)
	_, _, running := f.others(c.order.To)
	switch {
	case f.Unheard != "":
		return f.Unheard
	case targets == 0:
		return fmt.Sprintf("no target of version %q is heard", c.order.To)
	case warm < targets && float64(slots) < spareSlots*float64(running):
		return fmt.Sprintf("%d of %d targets of version %q are in their cold start", targets-warm, targets, c.order.To)
	case float64(slots) < spareSlots*float64(running):
		return fmt.Sprintf("the new version has %d slots for the %d requests that the old one runs", slots, running)
	default:
		return ""
	}
}

// settleTime returns the time from the order until the new version may get requests.
func (c *Controller) settleTime() (d time.Duration) {
	return min(settleTime, time.Duration(settleFraction*float64(c.order.Limit)))
}

// decideStart decides on the first requests for the new version.
func (c *Controller) decideStart(elapsed time.Duration, warm int) (state mesh.RolloutState, share float64, reason string) {
	switch {
	case elapsed < c.settleTime():
		return mesh.RolloutRunning, 0, "the order was received"
	case warm == 0:
		return mesh.RolloutRunning, 0, "no warm target of the new version is heard yet"
	default:
		share = c.canaryShare()
		return mesh.RolloutRunning, share, fmt.Sprintf("%d warm targets; the service gets %.0f requests a second", warm, c.rate)
	}
}

// canaryShare returns the share of the first stage.
func (c *Controller) canaryShare() (share float64) {
	share = c.bounds.Share
	if expected := c.rate * c.order.Limit.Seconds(); expected > 0 {
		share += usableSlack * c.bounds.Slack / expected
	}
	return min(maxCanaryShare, canaryFraction*share)
}

// spare returns the time for which the new version could get all requests without exceeding the
// allowed exposure, if the rate stays as it is.
func (c *Controller) spare(now time.Time) (d time.Duration) {
	if c.rate <= 0 {
		return 0
	}
	expected := float64(c.all) + c.rate*max(0, c.order.Limit-c.Elapsed(now)).Seconds()
	left := usableShare*c.bounds.Share*expected + usableSlack*c.bounds.Slack - float64(c.toNew)
	return time.Duration(max(0, min(c.order.Limit.Seconds(), left/c.rate)) * float64(time.Second))
}

// decideRaise decides on a larger share, once the new version gets some requests.
func (c *Controller) decideRaise(now time.Time, f Fleet, share float64) (state mesh.RolloutState, raised float64, reason string) {
	left, spare := c.order.Limit-c.Elapsed(now), c.spare(now)
	if c.blocker(f) != "" {
		return mesh.RolloutRunning, share, ""
	}
	// A service with little traffic has requests to spare almost from the start, and the last
	// stage still comes last: a version may turn bad later.
	last := min(max(spare, switchTime), c.order.Limit/2)
	evidence := fmt.Sprintf("%d answers of the new version are as good as those of the old one; %d of %d requests went to it", c.monitor.Answers(), c.toNew, c.all)
	switch {
	case left <= last:
		return mesh.RolloutRunning, 1, evidence
	case share < partialShare && spare >= partialMinBudget && left <= last+partialTime:
		return mesh.RolloutRunning, partialShare, evidence
	default:
		return mesh.RolloutRunning, share, ""
	}
}

// decideFull decides whether the roll-out is complete, once the new version gets all requests.
func (c *Controller) decideFull(now time.Time, f Fleet) (state mesh.RolloutState, share float64, reason string) {
	held, late := now.Sub(c.since), c.Elapsed(now)-c.order.Limit
	others, _, running := f.others(c.order.To)
	answers := saturatingSub(c.monitor.Answers(), c.answersAtStep)
	left := held - late
	hold := max(minHold, left-min(left/2, completeMargin))
	seen := held >= hold && (answers >= minHoldAnswers || late >= -storeTime)
	switch {
	case f.Unheard != "" && late >= unheardWait:
		return mesh.RolloutRolledBack, 0, "the time limit was reached: " + f.Unheard
	case f.Unheard != "" || !seen:
		return mesh.RolloutRunning, 1, ""
	case f.idle(c.order.To, c.record.Step):
		return mesh.RolloutComplete, 1, fmt.Sprintf("%d other targets are idle after %v; %d of %d requests went to the new version", others, held.Round(time.Millisecond), c.toNew, c.all)
	case late >= drainLimit && f.FaultReason != "":
		return mesh.RolloutRolledBack, 0, f.FaultReason
	case late >= drainLimit:
		return mesh.RolloutComplete, 1, fmt.Sprintf("%d requests at %d other targets have not ended %v after the time limit", running, others, late.Round(time.Millisecond))
	default:
		return mesh.RolloutRunning, 1, ""
	}
}
