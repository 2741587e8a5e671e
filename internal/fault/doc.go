// Package fault contains fault-injection tests: they run nodes as separate processes and
// check the guarantees of the system when a fault occurs at any step of a request.
package fault
