package rules

import (
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestImportance guards against a route whose priority takes precedence over that of the
// organisation, and against routes of one organisation with equal ranks.
func TestImportance(t *testing.T) {
	first, second, last := 0, 1, 9
	for _, c := range []struct {
		name  string
		route mesh.Class
		o     *mesh.Organisation
		class mesh.Class
		rank  mesh.Rank
	}{
		{"call of a target", 2, nil, mesh.ClassCritical, 2},
		{"first organisation, last route", 3, &mesh.Organisation{Priority: &first}, mesh.ClassHigh, 3},
		{"second organisation, first route", 0, &mesh.Organisation{Priority: &second}, mesh.ClassNormal, 0},
		{"last organisation", 1, &mesh.Organisation{Priority: &last}, mesh.ClassLow, 1},
		{"no priority", 1, &mesh.Organisation{}, mesh.ClassNormal, 1},
		{"route beyond the ranks", 200, &mesh.Organisation{Priority: &second}, mesh.ClassNormal, mesh.RankCount - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			class, rank := RequestPriority(&mesh.Route{Class: c.route}, c.o)
			if class != c.class || rank != c.rank {
				t.Errorf("got class %v and rank %d, want %v and %d", class, rank, c.class, c.rank)
			}
		})
	}
}
