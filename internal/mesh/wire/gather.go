package wire

import (
	"errors"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gather"
)

// FromWrites returns the message for conditional writes.
func FromWrites(writes []mesh.Write) (m *ClaimBatch) {
	m = new(ClaimBatch)
	for _, w := range writes {
		m.Writes = append(m.Writes, &ClaimWrite{Key: w.Key, Value: w.Value, Version: w.Version})
	}
	return m
}

// ToWrites returns the writes in a message, which are all conditional.
func ToWrites(m *ClaimBatch) (writes []mesh.Write) {
	for _, w := range m.GetWrites() {
		condition := mesh.IfAbsent
		if w.GetVersion() != 0 {
			condition = mesh.IfVersion
		}
		writes = append(writes, mesh.Write{Key: w.GetKey(), Value: w.GetValue(), Condition: condition, Version: w.GetVersion()})
	}
	return writes
}

// FromOutcome returns the message for the outcome of a batch.
func FromOutcome(err error) (m *ClaimOutcome) {
	var conflict *mesh.ConflictError
	switch {
	case err == nil:
		return &ClaimOutcome{Result: ClaimOutcome_DONE}
	case errors.As(err, &conflict):
		row := conflict.Current
		return &ClaimOutcome{
			Result:  ClaimOutcome_CONFLICT,
			Current: &ClaimWrite{Key: row.Key, Value: row.Value, Version: row.Version},
		}
	case errors.Is(err, gather.ErrNotWritten):
		return &ClaimOutcome{Result: ClaimOutcome_NOT_WRITTEN}
	default:
		return &ClaimOutcome{Result: ClaimOutcome_UNAVAILABLE}
	}
}

// ToOutcome returns the outcome of a batch: nil, a *mesh.ConflictError,
// gather.ErrNotWritten or mesh.ErrPlatformUnavailable.
func ToOutcome(m *ClaimOutcome) (err error) {
	switch m.GetResult() {
	case ClaimOutcome_DONE:
		return nil
	case ClaimOutcome_CONFLICT:
		c := m.GetCurrent()
		return &mesh.ConflictError{Current: mesh.Row{Key: c.GetKey(), Value: c.GetValue(), Version: c.GetVersion()}}
	case ClaimOutcome_NOT_WRITTEN:
		return gather.ErrNotWritten
	default:
		return mesh.ErrPlatformUnavailable
	}
}
