// Package gateway implements the role that serves callers. It forwards online
// requests to targets and relays their answers. It also accepts batch jobs, whose
// items are run by batchers, and returns their results. It holds no durable state
// of its own: everything is in the platform's store.
package gateway
