package mesh

import (
	"cmp"
	"fmt"
)

// StoreVersion is a state of the platform's store. The zero value comes before all of them.
type StoreVersion struct {
	// Era increases each time the store comes back from an older copy. It is zero for a store that
	// does not name its eras.
	Era uint64

	// Number increases with each transaction of an era. A store that comes back from a copy gives
	// numbers out again, so numbers of two eras must not be compared.
	Number uint64
}

// Compare returns -1, 0 or 1 when v is an earlier state than other, the same or a later one.
func (v StoreVersion) Compare(other StoreVersion) (order int) {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// After reports whether v is a later state than other.
func (v StoreVersion) After(other StoreVersion) bool { return v.Compare(other) > 0 }

// String returns the era and the number, as shown in logs.
func (v StoreVersion) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Number) }
