package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentBytes reads the process's resident memory.
func (p *Process) ResidentBytes() (int64, error) { return p.readStatusBytes("VmRSS:") }

// PeakBytes reads the largest resident memory that the process has had.
func (p *Process) PeakBytes() (int64, error) { return p.readStatusBytes("VmHWM:") }

// readStatusBytes reads a size from the process's status.
func (p *Process) readStatusBytes(name string) (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, ErrProcess.Wrap(err, "read status")
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == name {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0, ErrProcess.Wrap(err, "parse status")
			}
			return kilobytes << 10, nil
		}
	}
	return 0, ErrProcess.New("no %s in the status of %d", name, pid)
}
