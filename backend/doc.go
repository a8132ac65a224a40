// Package backend is the client side of what the platform provides: the log
// service, the instance list, the weight store, model engines and plain
// services. Each is an interface or a small HTTP client without retries; the
// callers decide what a failure means.
package backend
