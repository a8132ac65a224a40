// Package transport carries messages between the system's processes: control
// messages by net/rpc over authenticated TCP connections, attempts and their token
// streams by HTTP, since net/rpc has no streams, and load queries by UDP. It also
// reads and writes problem documents.
package transport
