package wire

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
)

// maxSnapshotBytes is the maximum size of an uncompressed message.
const maxSnapshotBytes = 16 << 20

func fromKeys(keys map[mesh.KeyHash]config.Key) (list []*Key) {
	for hash, key := range keys {
		list = append(list, &Key{Hash: hash[:], Organisation: string(key.Organisation), Withdrawn: key.Withdrawn})
	}
	slices.SortFunc(list, func(a, b *Key) int { return bytes.Compare(a.GetHash(), b.GetHash()) })
	return list
}

func toKeys(list []*Key) (keys map[mesh.KeyHash]config.Key, err error) {
	keys = make(map[mesh.KeyHash]config.Key, len(list))
	for _, k := range list {
		if len(k.GetHash()) != len(mesh.KeyHash{}) {
			return nil, fmt.Errorf("key hash has %d bytes: %w", len(k.GetHash()), ErrMalformed)
		}
		keys[mesh.KeyHash(k.GetHash())] = config.Key{Organisation: mesh.OrganisationName(k.GetOrganisation()), Withdrawn: k.GetWithdrawn()}
	}
	return keys, nil
}

// FromSnapshot encodes a snapshot.
func FromSnapshot(s *config.Snapshot) (m *Snapshot) {
	return &Snapshot{Version: s.Version, Nonce: s.Nonce, Tree: s.Text, Keys: fromKeys(s.Keys)}
}

// ReadSnapshot decodes a snapshot without parsing its settings tree.
func ReadSnapshot(m *Snapshot) (s *config.Snapshot, err error) {
	s = &config.Snapshot{Version: m.GetVersion(), Nonce: m.GetNonce(), Text: m.GetTree()}
	s.Keys, err = toKeys(m.GetKeys())
	return s, err
}

// ToSnapshot decodes a snapshot and parses and validates its settings tree.
func ToSnapshot(m *Snapshot) (s *config.Snapshot, err error) {
	s, err = ReadSnapshot(m)
	if err != nil {
		return nil, err
	}
	return s, ensureTree(s)
}

// ensureTree parses the settings tree of a snapshot unless that has been done.
func ensureTree(s *config.Snapshot) (err error) {
	if s.Tree != nil {
		return nil
	}
	if s.Tree, err = parse.Tree(s.Text); err != nil {
		return fmt.Errorf("snapshot %d: %w", s.Version, err)
	}
	return nil
}

// PackSnapshot marshals and compresses a snapshot. Settings trees are repetitive and
// compress to about a tenth of their size.
func PackSnapshot(m *Snapshot) (data []byte, err error) { return compress(m) }

// UnpackSnapshot decompresses and unmarshals the result of PackSnapshot.
func UnpackSnapshot(data []byte) (m *Snapshot, err error) {
	m = new(Snapshot)
	return m, decompress(data, m)
}

func compress(m proto.Message) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compress message: %w", err)
		}
	}()
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, err = z.Write(plain)
	err = cmp.Or(err, z.Close())
	return b.Bytes(), err
}

func decompress(data []byte, m proto.Message) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decompress message: %w", err)
		}
	}()
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxSnapshotBytes {
		return fmt.Errorf("larger than %d bytes: %w", maxSnapshotBytes, ErrMalformed)
	}
	return proto.Unmarshal(plain, m)
}

// PackChange marshals and compresses a change.
func PackChange(m *Change) (data []byte, err error) { return compress(m) }

// UnpackChange decompresses and unmarshals the result of PackChange.
func UnpackChange(data []byte) (m *Change, err error) {
	m = new(Change)
	return m, decompress(data, m)
}

// FromChange encodes a change.
func FromChange(c config.Change) (m *Change) {
	m = &Change{Version: c.Version, Nonce: c.Nonce, Keys: fromKeys(c.Keys)}
	if c.Tree != nil {
		m.Tree = &TreeEdit{
			KeepStart: uint32(c.Tree.PrefixLength),
			KeepEnd:   uint32(c.Tree.SuffixLength),
			Insert:    c.Tree.Insert,
			Sum:       c.Tree.Sum[:],
		}
	}
	return m
}

// ToChange decodes a change.
func ToChange(m *Change) (c config.Change, err error) {
	c = config.Change{Version: m.GetVersion(), Nonce: m.GetNonce()}
	if c.Keys, err = toKeys(m.GetKeys()); err != nil || m.GetTree() == nil {
		return c, err
	}
	e := m.GetTree()
	c.Tree = &config.TreeEdit{PrefixLength: int(e.GetKeepStart()), SuffixLength: int(e.GetKeepEnd()), Insert: e.GetInsert()}
	if len(e.GetSum()) != len(c.Tree.Sum) {
		return c, fmt.Errorf("checksum of an edit has %d bytes: %w", len(e.GetSum()), ErrMalformed)
	}
	copy(c.Tree.Sum[:], e.GetSum())
	return c, nil
}

// ApplyChanges applies changes to base in order and returns the result with its settings
// tree parsed. It returns config.ErrMismatch when the changes do not apply to base.
func ApplyChanges(base *config.Snapshot, changes []*Change) (s *config.Snapshot, err error) {
	if base == nil {
		return nil, config.ErrMismatch
	}
	s = base
	for _, m := range changes {
		c, err := ToChange(m)
		if err != nil {
			return nil, err
		}
		if s, err = s.Apply(c); err != nil {
			return nil, err
		}
	}
	return s, ensureTree(s)
}

// FromAcks encodes acknowledgements.
func FromAcks(acks []config.Ack) (list []*Ack) {
	for _, a := range acks {
		// MarshalBinary of a netip.AddrPort never fails.
		host, _ := a.Host.MarshalBinary()
		list = append(list, &Ack{Host: host, Incarnation: uint64(a.Incarnation), Version: a.Version})
	}
	return list
}

// ToAcks decodes acknowledgements.
func ToAcks(list []*Ack, collected bool) (acks []config.Ack, err error) {
	for _, m := range list {
		a := config.Ack{Incarnation: mesh.Incarnation(m.GetIncarnation()), Version: m.GetVersion(), Collected: collected}
		if err := a.Host.UnmarshalBinary(m.GetHost()); err != nil {
			return nil, fmt.Errorf("acknowledgement: %w", err)
		}
		acks = append(acks, a)
	}
	return acks, nil
}
