package share_test

import (
	"google.golang.org/protobuf/proto"

	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// init lets the measurements count bytes as nodes encode them, without an
// encoding in the package itself.
func init() {
	share.BatchSize = func(from share.Process, b share.Batch) (bytes int) {
		return proto.Size(wire.FromBatch(from.Addr, b))
	}
}
