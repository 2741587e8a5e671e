package agent

import (
	"expvar"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/broken"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
)

// anyRules is a source of configuration that takes every text for rules.
type anyRules struct{ mesh.ConfigSource }

// Parse implements mesh.ConfigSource.
func (anyRules) Parse([]byte) (rules *mesh.Rules, err error) { return new(mesh.Rules), nil }

// TestBrokenConfig guards against configuration that comes in a broken answer of another node.
func TestBrokenConfig(t *testing.T) {
	data, err := cbor.Marshal(configMessage{AsOf: 2})
	if err != nil {
		t.Fatal(err)
	}
	d := newFetchDuty(new(expvar.Map), anyRules{}, new(followDuty), logs.Log{})
	if _, err := d.request(t.Context(), broken.NewServer(t, broken.Answer{}.Text("HTTP/1.1 200 OK", "", string(data))).Addr); err != nil {
		t.Errorf("sound answer: got %v, want none", err)
	}
	for _, a := range broken.Answers {
		t.Run(a.Name, func(t *testing.T) {
			peer := broken.NewServer(t, a.Text("HTTP/1.1 200 OK", "", string(data)))
			if got, err := d.request(t.Context(), peer.Addr); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
}
