package demo

import (
	"net"
	"os"
	"strconv"
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

// FreeAddress returns a loopback address that was free when checked and that this
// process has not returned recently.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portStride+nextPort.Add(1))%portCount
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", protocol.ErrInternal.New("no free port on %s", host)
}
