// Package fleet holds the types that the gateway and the batcher work with:
// the node's own settings, the configuration in force, targets, requests and
// batch jobs. The adapter of a platform translates what that platform says into
// them; nothing here knows its wire format.
package fleet
