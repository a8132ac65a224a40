package settings

import "net"

// Listen listens on the process's two addresses. It fails with ErrSettings, which
// names the key of an address that cannot be had, and then listens on neither.
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
