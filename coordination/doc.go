// Package coordination groups the decisions that the processes make together.
// Its subpackages hold one concept each: following the log (follow), appending
// to it (commit), the membership table (membership), the choice of a target
// (routing), the slots before a target (slots) and the handing out of batch
// items (batch). Decisions take the time and their random source as arguments
// where they can, and leave I/O to interfaces.
package coordination
