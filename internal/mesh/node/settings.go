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

// Settings are what a node has to know before it can read the settings tree.
type Settings struct {
	Zone mesh.ZoneName `yaml:"zone"`

	// CallerListen takes requests of callers.
	CallerListen netip.AddrPort `yaml:"caller-listen"`

	// LocalListen takes announcements and deeper calls of targets on this
	// host, and serves metrics.
	LocalListen netip.AddrPort `yaml:"local-listen"`

	// PeerListen takes calls and control messages of other nodes. It names
	// the host in the fleet.
	PeerListen netip.AddrPort `yaml:"peer-listen"`

	// PeerBind is where the peer listener binds when that is not PeerListen,
	// for example behind address translation.
	PeerBind netip.AddrPort `yaml:"peer-bind"`

	Platform netip.AddrPort `yaml:"platform"`

	// Peers are hosts to join from when the platform is out of reach.
	Peers []netip.AddrPort `yaml:"peers"`

	// Secrets sign messages between nodes, newest first.
	Secrets []string `yaml:"secrets"`

	// LeaveTime is how long a node that stops waits for the others to learn
	// of it before it closes its listeners.
	LeaveTime time.Duration `yaml:"leave-time"`
}

// defaultLeaveTime lets a change reach every host of the zone before the
// listeners close.
const defaultLeaveTime = 3 * time.Second

// ParseSettings reads and checks the settings of a node. It uses the secrets
// in fallback when the text has none.
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
			problems = append(problems, fmt.Errorf("%s is missing; write an IP number and port such as 10.0.0.7:8080", a.name))
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
