package settings

import "net"

// Listen listens on the process's HTTP and peer addresses. If either fails, it listens
// on neither and returns ErrSettings with the key of the address that failed.
func (p *Process) Listen() (http, peer net.Listener, err error) {
	if http, err = net.Listen("tcp", p.HTTP); err != nil {
		return nil, nil, ErrSettings.Wrap(err, "process.http")
	}
	if peer, err = net.Listen("tcp", p.Peer); err != nil {
		_ = http.Close()
		return nil, nil, ErrSettings.Wrap(err, "process.peer")
	}
	return http, peer, nil
}
