package tree

import "dario.cat/mergo"

// inheritFrom returns s with every unset field replaced by that of the level above.
// Only nil counts as unset: without WithoutDereference, mergo would also replace
// zero values such as 0 retries, false or the class critical.
func (s Settings) inheritFrom(parent Settings) (merged Settings) {
	if err := mergo.Merge(&s, parent, mergo.WithoutDereference); err != nil {
		// Merge only fails when the arguments are not structs of the same type.
		panic(err)
	}
	return s
}
