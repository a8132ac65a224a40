package fleet

import (
	"fmt"
	"time"
)

// Node describes the process's instance, from the platform's settings.
type Node struct {
	// Name is the instance's name, unique among all instances.
	Name string
	// DataCentre is the instance's data centre.
	DataCentre string
	// CallerAddress is the address that callers connect to, empty if there are none.
	CallerAddress string
	// ReadyAddress is the address of the platform's readiness checks.
	ReadyAddress string
	// TargetAddress and Service are the address and service of the target on the same
	// instance, empty if there is none.
	TargetAddress string
	Service       string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// GracePeriod is the time that the process has to stop after it is told to.
	GracePeriod time.Duration
	// KeepResults is how long after its submission a job's results must stay
	// readable; 0 means without end.
	KeepResults time.Duration
	// MemoryMB is the process's memory limit.
	MemoryMB int
	// MaxRecordBytes is the maximum size of a record, MaxCallBytes that of the records
	// of one append.
	MaxRecordBytes int
	MaxCallBytes   int
	// Address is the instance's IP address. PeerPort is the port for messages between
	// the system's processes; it is the same on all instances. Both may be empty.
	Address  string
	PeerPort string
	// RevocationTimeout is how long after the removal of a key was acknowledged its last
	// request may begin; 0 means that no such bound is set.
	RevocationTimeout time.Duration
	// Rate limits of workspaces hold over any QuotaWindow, with a tolerance: QuotaOverage is
	// its share of the limit, and QuotaSlack its number of requests.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   int
	// AddressReuse is how long the address of a target that has ended is not used again by another
	// service, 0 if that is not known.
	AddressReuse time.Duration
	// ProcessorShare is the share of a core that the process has, 0 if unknown.
	ProcessorShare float64
}

// NodeChange is a setting that differs between two versions of the settings file.
type NodeChange struct {
	Setting  string
	Old, New string
	// NeedsRestart is set if the new value takes effect only after a restart.
	NeedsRestart bool
}

// Changes returns the settings that differ in next.
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
	note("revocation_timeout", n.RevocationTimeout, next.RevocationTimeout, true)
	note("quota_window", n.QuotaWindow, next.QuotaWindow, true)
	note("quota_overage", n.QuotaOverage, next.QuotaOverage, true)
	note("quota_slack", n.QuotaSlack, next.QuotaSlack, true)
	note("address_reuse", n.AddressReuse, next.AddressReuse, true)
	note("processor_share", n.ProcessorShare, next.ProcessorShare, true)
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
