package share_test

import (
	"google.golang.org/protobuf/proto"

	"github.com/quetzalstack/quetzalstack/internal/mesh/share"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

// init makes the measurements count bytes in the encoding between nodes, without importing the
// encoding into the package itself.
func init() {
	share.BatchSize = func(from share.Process, b share.Batch) (bytes int) {
		return proto.Size(wire.FromBatch(from.Addr, b))
	}
}
