// Package backend contains the clients of the platform's services: the log service,
// the instance list, the weight store, model engines and plain services. Each is an
// interface or a small HTTP client without retries; its user decides how to handle a
// failure.
package backend
