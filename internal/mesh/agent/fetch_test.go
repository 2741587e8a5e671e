package agent

import (
	"expvar"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/broken"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
)

// anyRules is a source of configuration that takes every text for rules.
type anyRules struct{ mesh.ConfigSource }

// Parse implements mesh.ConfigSource.
func (anyRules) Parse([]byte) (rules *mesh.Rules, err error) { return new(mesh.Rules), nil }

// TestBrokenConfig guards against configuration that comes in a broken answer of another node.
func TestBrokenConfig(t *testing.T) {
	data, err := cbor.Marshal(configMessage{Era: 1, AsOf: 2})
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

// TestConfigBetweenNodes guards against an era, or settings carried from an earlier one, that are lost
// on their way between nodes or that last longer there.
func TestConfigBetweenNodes(t *testing.T) {
	now := time.Unix(1e9, 0)
	want := mesh.FleetConfig{
		AsOf: mesh.StoreVersion{Era: 2, Number: 7}, RulesText: []byte("a"), ZonesOut: []mesh.ZoneName{"y", "z"}, Orders: []mesh.RolloutOrder{testOrder},
		Carried: mesh.Carried{Until: now.Add(time.Second), ZonesOut: []mesh.ZoneName{"z"}, Orders: []mesh.RolloutOrder{testOrder}},
	}
	data, err := cbor.Marshal(encodeConfig(now, &want))
	if err != nil {
		t.Fatal(err)
	}
	var message configMessage
	if err := cbor.Unmarshal(data, &message); err != nil {
		t.Fatal(err)
	}
	if got := message.decode(now, nil); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	message.Carried.Left = 24 * time.Hour
	if got, want := message.decode(now, nil).Carried.Until, now.Add(rules.CarryTime); !got.Equal(want) {
		t.Errorf("got settings carried until %v, want until %v", got, want)
	}
}
