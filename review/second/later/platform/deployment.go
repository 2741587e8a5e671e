package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	hostName = "shop.example"

	// startTime is the time in which the nodes of a deployment have to be ready, and settleTime the one
	// after which they know each other and their instances.
	startTime  = 20 * time.Second
	settleTime = 9 * time.Second
)

// place is where an instance and its node run.
type place struct{ zone, region, service string }

// deployment is a store and a machine for each place.
type deployment struct {
	rec       *record
	store     *store
	nodes     []*node
	instances []*instance
	temporary string
	folder    string
	version   int

	// trouble is false when the case runs without its disruption.
	trouble bool

	// network is the second byte of the addresses, and base the first port of each machine.
	network, base int
}

// newDeployment prepares a deployment; folder gets the record.
func newDeployment(folder string, places []place) (d *deployment, err error) {
	d = &deployment{rec: newRecord(), store: newStore(), folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	if d.temporary, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	binary, err := filepath.Abs("target/quetzalstack")
	if err != nil {
		return d, err
	}
	if err := d.findNetwork(); err != nil {
		return d, err
	}
	storeAddr := fmt.Sprintf("127.%d.200.1:%d", d.network, d.base)
	if err := d.store.listen(storeAddr); err != nil {
		return d, err
	}
	zones := make(map[string]string)
	for _, p := range places {
		zones[p.zone] = p.region
	}
	for k, p := range places {
		ip := fmt.Sprintf("127.%d.1.%d", d.network, k+1)
		n := &node{
			name: fmt.Sprintf("machine-%d", k+1), ip: ip, reached: ip, zone: p.zone, zones: zones, service: p.service, base: d.base,
			folder: d.temporary, binary: binary, rec: d.rec, storeAddr: storeAddr,
		}
		n.app = n.port(appPort)
		d.nodes = append(d.nodes, n)
		d.instances = append(d.instances, &instance{
			id: fmt.Sprintf("i-7f3a91c%d", k+1), service: p.service, zone: p.zone, addr: n.app, control: n.port(controlPort), slots: 44, rec: d.rec,
		})
	}
	return d, nil
}

// findNetwork chooses free addresses: an unused network, and ports that no listener on all addresses has.
func (d *deployment) findNetwork() (err error) {
	for d.network = 140; d.network < 200; d.network++ {
		for _, d.base = range []int{7000, 9100, 11100, 13100, 15100, 17100} {
			if d.isFree() {
				return nil
			}
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) isFree() (free bool) {
	// The listener stays open, so that another case beside this one chooses another network.
	hold, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:7000", d.network))
	if err != nil {
		return false
	}
	for _, offset := range []int{internalPort, metricsPort, controlPort, inboundPort, readyPort, appPort, outboundPort} {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", d.network, d.base+offset))
		if err != nil {
			hold.Close()
			return false
		}
		l.Close()
	}
	return true
}

// start starts the instances and the nodes, and waits until they are ready.
func (d *deployment) start() (err error) {
	for k, n := range d.nodes {
		if err := d.instances[k].start(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTime)
	for _, n := range d.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// end ends all processes and writes the record.
func (d *deployment) end() (err error) {
	for _, n := range d.nodes {
		n.stop(syscall.SIGKILL)
	}
	return errors.Join(os.RemoveAll(d.temporary), d.rec.write(filepath.Join(d.folder, "record.txt")))
}

// route and tenant are entries of the manifest.
type route struct{ name, prefix, kind, service string }

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// putManifest writes the next version of the manifest. Routes of instances' calls, which carry no key, are
// public.
func (d *deployment) putManifest(timeout float64, routes []route, tenants []tenant) (err error) {
	d.version += 2
	var r, s []map[string]any
	known := make(map[string]bool)
	for _, e := range routes {
		r = append(r, map[string]any{
			"name": e.name, "host": hostName, "prefix": e.prefix, "kind": e.kind, "timeoutS": timeout, "targetLatencyS": 1.5,
			"priority": 0, "service": e.service, "attempts": 2, "public": e.name == callRoute,
		})
	}
	for _, i := range d.instances {
		if !known[i.service] {
			known[i.service] = true
			s = append(s, map[string]any{
				"name": i.service, "healthPath": "/health", "maxConnections": 364, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 45,
			})
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": d.version, "routes": r, "services": s, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	if err != nil {
		return err
	}
	d.store.put("config", text)
	d.rec.note("the store acknowledges version %d of the manifest", d.version)
	return nil
}

// callRoute is the route of calls that instances make.
const callRoute = "r-call"
