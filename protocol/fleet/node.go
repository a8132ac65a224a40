package fleet

import "time"

// Node is what a process learns of its instance when it starts.
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
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
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
