package fleet

import (
	"fmt"
	"time"
)

// Node is what a process learns of its instance from the platform's settings.
type Node struct {
	// Name is unique among the instances.
	Name string
	// DataCentre is where the instance stands.
	DataCentre string
	// CallerAddress is where callers connect, empty where none do.
	CallerAddress string
	// ReadyAddress is where the platform asks whether callers may connect.
	ReadyAddress string
	// TargetAddress and Service are those of the target on the same instance,
	// empty where there is none.
	TargetAddress string
	Service       string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// GracePeriod is the time between the order to stop and the end of the process.
	GracePeriod time.Duration
	// KeepResults is how long after its submission the results of a job must stay
	// readable; 0 where that has no end.
	KeepResults time.Duration
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// MaxRecordBytes and MaxCallBytes bound a record and the records of one append.
	MaxRecordBytes int
	MaxCallBytes   int
	// Address is the instance's IP address, PeerPort the port for messages between
	// processes of the system, the same on all instances; empty where there is none.
	Address  string
	PeerPort string
}

// NodeChange is a setting that differs between two readings of the file.
type NodeChange struct {
	Setting  string
	Old, New string
	// NeedsRestart is set where the process keeps the old value until it starts again.
	NeedsRestart bool
}

// Changes returns the settings that next changes.
func (n *Node) Changes(next *Node) []NodeChange {
	var changes []NodeChange
	note := func(setting string, before, after any, restart bool) {
		if before != after {
			changes = append(changes, NodeChange{setting, fmt.Sprint(before), fmt.Sprint(after), restart})
		}
	}
	note("grace", n.GracePeriod, next.GracePeriod, false)
	note("keep_results", n.KeepResults, next.KeepResults, false)
	note("memory_mb", n.MemoryMB, next.MemoryMB, false)
	note("max_record_bytes", n.MaxRecordBytes, next.MaxRecordBytes, false)
	note("max_call_bytes", n.MaxCallBytes, next.MaxCallBytes, true)
	note("name", n.Name, next.Name, true)
	note("data_centre", n.DataCentre, next.DataCentre, true)
	note("address", n.Address, next.Address, true)
	note("caller_address", n.CallerAddress, next.CallerAddress, true)
	note("ready_address", n.ReadyAddress, next.ReadyAddress, true)
	note("target_address", n.TargetAddress, next.TargetAddress, true)
	note("service", n.Service, next.Service, true)
	note("store_address", n.StoreAddress, next.StoreAddress, true)
	note("peer_port", n.PeerPort, next.PeerPort, true)
	return changes
}
