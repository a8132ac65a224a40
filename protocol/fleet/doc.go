// Package fleet defines the types of the gateway and the batcher: the node's
// settings, the configuration in force, targets, requests and batch jobs. A
// platform's adapter converts the platform's wire format to these types; this
// package is independent of it.
package fleet
