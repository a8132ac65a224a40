package timeline

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// chromeFile is a file in the JSON object form of Chrome's trace event format.
type chromeFile struct {
	TraceEvents []chromeEvent `json:"traceEvents"`
	DisplayUnit string        `json:"displayTimeUnit"`
	// OtherData carries what the format has no place for.
	OtherData chromeOtherData `json:"otherData"`
}

type chromeOtherData struct {
	// Missing names the processes that did not answer.
	Missing []string `json:"missing"`
	// StartUnixMillis is the time of zero, in milliseconds since the epoch.
	StartUnixMillis int64 `json:"start_unix_ms"`
}

// chromeEvent is an instant event, or metadata that names a process or thread.
type chromeEvent struct {
	Name  string `json:"name"`
	Phase string `json:"ph"`
	// Micros is the time since the start of the file, in microseconds: as a time
	// since the epoch it would not hold fractions.
	Micros  float64           `json:"ts"`
	Process int               `json:"pid"`
	Thread  int               `json:"tid"`
	Scope   string            `json:"s,omitempty"`
	Args    map[string]string `json:"args,omitempty"`
}

const (
	phaseInstant  = "i"
	phaseMetadata = "M"
	scopeThread   = "t"
)

// microsPerMilli converts the clock's milliseconds.
const microsPerMilli = 1000

// WriteChrome writes events in Chrome's trace event format: a process for each
// instance and a thread for each trace. Events of one millisecond keep the order
// of their clocks by fractions of it. Missing processes are named in otherData.
// It fails with ErrInternal where w does.
func WriteChrome(w io.Writer, events []protocol.Event, missing []string) error {
	file := chromeFile{TraceEvents: []chromeEvent{}, DisplayUnit: "ms", OtherData: chromeOtherData{Missing: missing}}
	if len(events) > 0 {
		file.OtherData.StartUnixMillis = WallMillis(slices.MinFunc(events, compareEvents).Clock)
	}
	processes := newNumberTable("process_name")
	threads := newNumberTable("thread_name")
	for i := range events {
		e := &events[i]
		process := processes.numberOf(&file, e.Instance, e.Instance, 0)
		thread := 0
		if e.Trace != "" {
			thread = threads.numberOf(&file, e.Instance+"/"+e.Trace, e.Trace, process)
		}
		file.TraceEvents = append(file.TraceEvents, newInstantEvent(e, file.OtherData.StartUnixMillis, process, thread))
	}
	if err := json.NewEncoder(w).Encode(&file); err != nil {
		return protocol.ErrInternal.Wrap(err, "write trace")
	}
	return nil
}

func newInstantEvent(e *protocol.Event, start int64, process, thread int) chromeEvent {
	logical := float64(e.Clock & (1<<logicalBits - 1))
	return chromeEvent{
		Name: e.Name, Phase: phaseInstant, Scope: scopeThread, Args: e.Fields, Process: process, Thread: thread,
		Micros: float64(WallMillis(e.Clock)-start)*microsPerMilli + logical*microsPerMilli/(1<<logicalBits),
	}
}

// numberTable gives numbers to names, and writes metadata for each new one.
type numberTable struct {
	metadata string
	byName   map[string]int
}

func newNumberTable(metadata string) *numberTable {
	return &numberTable{metadata: metadata, byName: map[string]int{}}
}

// numberOf returns the number of a name. A thread belongs to process, which is zero
// for a process itself.
func (n *numberTable) numberOf(file *chromeFile, name, shown string, process int) int {
	if number, found := n.byName[name]; found {
		return number
	}
	number := len(n.byName) + 1
	n.byName[name] = number
	meta := chromeEvent{Name: n.metadata, Phase: phaseMetadata, Process: process, Thread: number, Args: map[string]string{"name": shown}}
	if process == 0 {
		meta.Process, meta.Thread = number, 0
	}
	file.TraceEvents = append(file.TraceEvents, meta)
	return number
}
