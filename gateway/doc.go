// Package gateway is the role on the instances that callers reach. It sends
// online requests to targets and passes their answers through, and it takes
// batch jobs, whose items batchers run, and answers what has become of them. It
// keeps nothing that is not in the platform's store.
package gateway
