// Package fault proves over separate node processes what must hold when
// something fails at any step of a request's life. It has tests only.
package fault
