// Package parse reads settings trees in YAML.
package parse

import (
	"bytes"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

type document struct {
	Settings      settings            `yaml:"settings"`
	Zones         map[string]zone     `yaml:"zones"`
	Services      map[string]service  `yaml:"services"`
	Organisations map[string]settings `yaml:"organisations"`
}

type zone struct {
	Region   string   `yaml:"region"`
	Out      bool     `yaml:"out"`
	Settings settings `yaml:"settings"`
}

type service struct {
	Settings settings         `yaml:"settings"`
	Routes   map[string]route `yaml:"routes"`
}

type route struct {
	Path     string   `yaml:"path"`
	Methods  []string `yaml:"methods"`
	Settings settings `yaml:"settings"`
}

type settings struct {
	Timeout     *time.Duration `yaml:"timeout"`
	Retries     *int           `yaml:"retries"`
	Class       *string        `yaml:"class"`
	MaxBody     *int64         `yaml:"max-body"`
	Idempotent  *bool          `yaml:"idempotent"`
	Open        *bool          `yaml:"open"`
	Once        *string        `yaml:"once"`
	ColdLimit   *int           `yaml:"cold-limit"`
	TargetDelay *time.Duration `yaml:"target-delay"`
	QueueLength *int           `yaml:"queue-length"`
	Rate        *float64       `yaml:"rate"`
	Burst       *float64       `yaml:"burst"`
	Weight      *int           `yaml:"weight"`
	RetryRatio  *float64       `yaml:"retry-ratio"`
	KeyGrace    *time.Duration `yaml:"key-grace"`
	ShareLease  *time.Duration `yaml:"share-lease"`
	ClaimKeep   *time.Duration `yaml:"claim-keep"`
}

// Tree reads and checks a settings tree.
func Tree(text []byte) (t *tree.Tree, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings tree: %w", err)
		}
	}()
	var d document
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&d); err != nil {
		return nil, err
	}
	t, err = d.tree()
	if err != nil {
		return nil, err
	}
	if problems := t.Check(); len(problems) > 0 {
		return nil, fmt.Errorf("%v (%d problems)", problems[0], len(problems))
	}
	return t, nil
}

func (d document) tree() (t *tree.Tree, err error) {
	t = &tree.Tree{
		Zones:         make(map[mesh.ZoneName]tree.Zone),
		Services:      make(map[mesh.ServiceName]tree.Service),
		Organisations: make(map[mesh.OrganisationName]tree.Settings),
	}
	if t.Fleet, err = d.Settings.level("settings"); err != nil {
		return nil, err
	}
	for name, z := range d.Zones {
		s, err := z.Settings.level("zones." + name)
		if err != nil {
			return nil, err
		}
		t.Zones[mesh.ZoneName(name)] = tree.Zone{Region: z.Region, Out: z.Out, Settings: s}
	}
	for name, s := range d.Services {
		if t.Services[mesh.ServiceName(name)], err = s.level("services." + name); err != nil {
			return nil, err
		}
	}
	for name, s := range d.Organisations {
		if t.Organisations[mesh.OrganisationName(name)], err = s.level("organisations." + name); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (s service) level(path string) (out tree.Service, err error) {
	out.Routes = make(map[string]tree.Route)
	if out.Settings, err = s.Settings.level(path); err != nil {
		return out, err
	}
	for name, r := range s.Routes {
		level, err := r.Settings.level(path + ".routes." + name)
		if err != nil {
			return out, err
		}
		out.Routes[name] = tree.Route{Path: r.Path, Methods: r.Methods, Settings: level}
	}
	return out, nil
}

func (s settings) level(path string) (out tree.Settings, err error) {
	out = tree.Settings{
		Timeout: s.Timeout, Retries: s.Retries, MaxBody: s.MaxBody,
		Idempotent: s.Idempotent, Open: s.Open,
		ColdLimit: s.ColdLimit, TargetDelay: s.TargetDelay, QueueLength: s.QueueLength,
		Rate: s.Rate, Burst: s.Burst, Weight: s.Weight,
		RetryRatio: s.RetryRatio, KeyGrace: s.KeyGrace, ShareLease: s.ShareLease, ClaimKeep: s.ClaimKeep,
	}
	if s.Class != nil {
		class, found := mesh.ParseClass(*s.Class)
		if !found {
			return out, fmt.Errorf("%s: class %q does not exist; use critical, high, normal or low", path, *s.Class)
		}
		out.Class = &class
	}
	if s.Once != nil {
		out.Once = new(mesh.OnceMode(*s.Once))
	}
	return out, nil
}
