// Package claim decides which non-idempotent requests may run, so that each
// runs at most once.
package claim
