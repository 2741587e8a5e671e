package node

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// Settings are the local settings of a node, which it needs before it can read the
// settings tree.
type Settings struct {
	Zone mesh.ZoneName `yaml:"zone"`

	// CallerListen is the address of the listener for requests of callers.
	CallerListen netip.AddrPort `yaml:"caller-listen"`

	// LocalListen is the address of the listener for announcements and nested
	// calls of targets on this host. It also serves metrics.
	LocalListen netip.AddrPort `yaml:"local-listen"`

	// PeerListen is the address at which other nodes send calls and control
	// messages. It identifies the host in the fleet.
	PeerListen netip.AddrPort `yaml:"peer-listen"`

	// PeerBind is the address to which the peer listener binds when it differs
	// from PeerListen, for example behind NAT.
	PeerBind netip.AddrPort `yaml:"peer-bind"`

	Platform netip.AddrPort `yaml:"platform"`

	// Peers are the hosts through which the node joins the fleet while the
	// platform is unavailable.
	Peers []netip.AddrPort `yaml:"peers"`

	// Secrets are the keys that sign messages between nodes, newest first.
	Secrets []string `yaml:"secrets"`

	// LeaveTime is how long a node that shuts down waits for other nodes to
	// notice before it closes its listeners.
	LeaveTime time.Duration `yaml:"leave-time"`
}

// defaultLeaveTime is long enough for a membership change to reach every host of
// the zone before the listeners close.
const defaultLeaveTime = 3 * time.Second

// ParseSettings parses and validates the settings of a node. It uses the secrets
// in fallback when the text contains none.
func ParseSettings(text []byte, fallback []string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("node settings: %w", err)
		}
	}()
	s.LeaveTime = defaultLeaveTime
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return s, err
	}
	if len(s.Secrets) == 0 {
		s.Secrets = fallback
	}
	return s, s.check()
}

func (s Settings) check() (err error) {
	var problems []error
	if s.Zone == "" {
		problems = append(problems, errors.New("zone is missing; name the availability zone of this host"))
	}
	for _, a := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"caller-listen", s.CallerListen},
		{"local-listen", s.LocalListen},
		{"peer-listen", s.PeerListen},
		{"platform", s.Platform},
	} {
		if !a.addr.IsValid() {
			problems = append(problems, fmt.Errorf("%s is missing; write an IP address and port such as 10.0.0.7:8080", a.name))
		}
	}
	if _, err := wire.NewSigner(s.Secrets...); err != nil {
		problems = append(problems, fmt.Errorf("secrets: %w", err))
	}
	if s.LeaveTime < 0 {
		problems = append(problems, fmt.Errorf("leave-time is %v; it must be at least 0", s.LeaveTime))
	}
	return errors.Join(problems...)
}
