// Package coordination groups the packages by which processes coordinate. Each
// subpackage covers one concern, among them following the log (follow),
// appending to it (commit), membership (membership), target selection
// (routing), a target's slots (slots) and the assignment of batch items (batch).
// Where possible, decisions take the time and a random source as arguments and
// leave I/O to interfaces.
package coordination
