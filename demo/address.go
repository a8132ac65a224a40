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
	// firstPort and portCount lie below the ports that outgoing connections use,
	// so that none of those takes an address between its choice and its use.
	firstPort = 10_000
	portCount = 22_000
	// portStride keeps processes that choose ports at the same time apart.
	portStride = 211
)

var nextPort atomic.Int64

// FreeAddress returns an address on loopback that was free a moment ago and that
// this process has not returned before.
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
