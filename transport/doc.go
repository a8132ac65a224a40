// Package transport carries messages between the system's processes: control
// messages by net/rpc over authenticated TCP connections, and attempts with
// their streams of tokens by HTTP, since net/rpc has no streams. It also writes
// problem documents.
package transport
