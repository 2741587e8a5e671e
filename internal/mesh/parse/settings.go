package parse

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

// settings reads the settings of one level. Whether a setting is allowed on that level
// is checked by tree.Tree.Check.
func (r *reader) settings(path string, level tree.Level, n *yaml.Node) (s tree.Settings) {
	for _, e := range r.entries(path, n) {
		if !r.setting(&s, e) {
			r.addUnknown(e.path, tree.SettingsOn(level))
		}
	}
	return s
}

// setting reads one setting and reports whether its name is known.
func (r *reader) setting(s *tree.Settings, e entry) (known bool) {
	switch e.name {
	case "timeout":
		s.Timeout = r.duration(e.path, e.value)
	case "retries":
		s.Retries = r.integer(e.path, e.value)
	case "class":
		s.Class = r.class(e.path, e.value)
	case "max-body":
		s.MaxBody = r.bytes(e.path, e.value)
	case "idempotent":
		s.Idempotent = r.boolean(e.path, e.value)
	case "open":
		s.Open = r.boolean(e.path, e.value)
	case "once":
		s.ClaimStore = r.claimStore(e.path, e.value)
	case "cold-limit":
		s.ColdLimit = r.integer(e.path, e.value)
	case "target-delay":
		s.TargetDelay = r.duration(e.path, e.value)
	case "queue-length":
		s.QueueLength = r.integer(e.path, e.value)
	case "rate":
		s.Rate = r.number(e.path, e.value)
	case "burst":
		s.Burst = r.number(e.path, e.value)
	case "weight":
		s.Weight = r.integer(e.path, e.value)
	case "retry-ratio":
		s.RetryRatio = r.number(e.path, e.value)
	case "key-grace":
		s.KeyGrace = r.duration(e.path, e.value)
	case "share-lease":
		s.ShareLease = r.duration(e.path, e.value)
	case "claim-keep":
		s.ClaimKeep = r.duration(e.path, e.value)
	default:
		return false
	}
	return true
}

// scalar decodes a value into target. It reports false when the value is null or of
// another type.
func (r *reader) scalar(path string, n *yaml.Node, target any, allowed string) (read bool) {
	if isNull(n) || n.Decode(target) != nil {
		r.add(n.Line, path, "is %q; write %s", n.Value, allowed)
		return false
	}
	return true
}

func (r *reader) text(path string, n *yaml.Node) (text string) {
	r.scalar(path, n, &text, "a text")
	return text
}

func (r *reader) integer(path string, n *yaml.Node) (v *int) {
	v = new(int)
	if !r.scalar(path, n, v, "a whole number") {
		return nil
	}
	return v
}

func (r *reader) bytes(path string, n *yaml.Node) (v *int64) {
	v = new(int64)
	if !r.scalar(path, n, v, "a whole number of bytes") {
		return nil
	}
	return v
}

func (r *reader) number(path string, n *yaml.Node) (v *float64) {
	v = new(float64)
	if !r.scalar(path, n, v, "a number") {
		return nil
	}
	return v
}

func (r *reader) boolean(path string, n *yaml.Node) (v *bool) {
	v = new(bool)
	if !r.scalar(path, n, v, "true or false") {
		return nil
	}
	return v
}

// duration reads a duration with a unit. A number without a unit is rejected, because
// it would mean nanoseconds.
func (r *reader) duration(path string, n *yaml.Node) (v *time.Duration) {
	d, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		r.add(n.Line, path, "is %q; write a duration with its unit, such as 750ms or 2h", n.Value)
		return nil
	}
	return &d
}

func (r *reader) class(path string, n *yaml.Node) (v *mesh.Class) {
	class, found := mesh.ParseClass(n.Value)
	if n.Kind != yaml.ScalarNode || !found {
		r.add(n.Line, path, "is %q; allowed are critical, high, normal and low", n.Value)
		return nil
	}
	return &class
}

func (r *reader) claimStore(path string, n *yaml.Node) (v *mesh.ClaimStore) {
	var text string
	if !r.scalar(path, n, &text, "a text") {
		return nil
	}
	return new(mesh.ClaimStore(text))
}
