package tree

import "dario.cat/mergo"

// inheritFrom returns s with every unset field taken from the level above. Only a nil
// pointer is unset: without WithoutDereference, mergo would also replace values
// such as 0 retries, false or the class critical.
func (s Settings) inheritFrom(above Settings) (merged Settings) {
	if err := mergo.Merge(&s, above, mergo.WithoutDereference); err != nil {
		// Merge only fails on arguments that are not structs of one type.
		panic(err)
	}
	return s
}
