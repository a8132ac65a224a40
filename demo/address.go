package demo

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	host = "127.0.0.1"
	// firstPort and portCount define a range below the ephemeral ports, so that no
	// outgoing connection takes an address between its choice and its use.
	firstPort = 10_000
	portCount = 22_000
	// portStride separates the ports of processes that choose at the same time.
	portStride = 211
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address that was free when checked and that neither this
// process nor another running one has returned. Each address costs one file descriptor until
// the process ends.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portStride+nextPort.Add(1))%portCount
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		if !reserve(port) {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", protocol.ErrInternal.New("no free port on %s", host)
}

// reserve reports whether no other process has chosen the port. The reservation, an abstract
// socket, ends with this process: the port is used only after FreeAddress has returned.
func reserve(port int64) bool {
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: "@sycamoretally-port-" + strconv.FormatInt(port, 10), Net: "unix"})
	if err != nil {
		return false
	}
	reservations.Store(port, l)
	return true
}

// reservations holds the open reservations by their port.
var reservations sync.Map
