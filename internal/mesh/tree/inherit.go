package tree

import "dario.cat/mergo"

// over returns s with every unset field taken from the level above.
func (s Settings) over(above Settings) (merged Settings) {
	if err := mergo.Merge(&s, above); err != nil {
		// Merge only fails on arguments that are not structs of one type.
		panic(err)
	}
	return s
}
