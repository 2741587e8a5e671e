package mesh

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// modulePath is the import path prefix of the packages of this module.
const modulePath = "github.com/quetzalstack/quetzalstack/"

// decisionPackages hold the decision logic, which must be independent of front end and
// wire encoding.
var decisionPackages = []string{
	"internal/mesh", "internal/mesh/audit", "internal/mesh/calls", "internal/mesh/canary", "internal/mesh/claim", "internal/mesh/config", "internal/mesh/fleet", "internal/mesh/gate",
	"internal/mesh/quota", "internal/mesh/retry", "internal/mesh/roster", "internal/mesh/route", "internal/mesh/rules", "internal/mesh/share",
	"internal/mesh/timing", "internal/mesh/tree",
}

// encodingPackages are packages that decision logic must not import, directly or through
// another package of this module.
var encodingPackages = []string{
	"net/http", "encoding/json", "github.com/twitchtv/twirp", "google.golang.org/protobuf",
	"go.yaml.in/yaml", "github.com/labstack/echo",
}

// TestDecisionsImportNoEncoding guards against decision logic that depends on the wire
// encoding.
func TestDecisionsImportNoEncoding(t *testing.T) {
	for _, p := range decisionPackages {
		seen := make(map[string]bool)
		collectImports(t, p, seen)
		for imported := range seen {
			for _, e := range encodingPackages {
				if imported == e || strings.HasPrefix(imported, e+"/") {
					t.Errorf("%s: got import of %s, want none", p, imported)
				}
			}
		}
	}
}

// collectImports adds the imports of a package to seen, recursively for packages of
// this module.
func collectImports(t *testing.T, dir string, seen map[string]bool) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			path := strings.Trim(spec.Path.Value, `"`)
			if seen[path] {
				continue
			}
			seen[path] = true
			if rest, own := strings.CutPrefix(path, modulePath); own {
				collectImports(t, rest, seen)
			}
		}
	}
}

// TestDecisionPackagesExist guards against a renamed folder, whose package the import
// check would skip silently.
func TestDecisionPackagesExist(t *testing.T) {
	for _, p := range decisionPackages {
		if _, err := os.Stat(filepath.Join("..", "..", filepath.FromSlash(p))); err != nil {
			t.Errorf("got %v, want a folder", err)
		}
	}
}
