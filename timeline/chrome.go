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
	// OtherData holds data that the format does not define.
	OtherData chromeOtherData `json:"otherData"`
}

type chromeOtherData struct {
	// Missing names the processes that did not answer.
	Missing []string `json:"missing"`
	// StartUnixMillis is the start of the time axis in milliseconds since the epoch.
	StartUnixMillis int64 `json:"start_unix_ms"`
}

// chromeEvent is an instant event, or a metadata event that names a process or thread.
type chromeEvent struct {
	Name  string `json:"name"`
	Phase string `json:"ph"`
	// Micros is the time since StartUnixMillis in microseconds. A float64 could not
	// hold the fractions of a time since the epoch.
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

// microsPerMilli converts milliseconds to microseconds.
const microsPerMilli = 1000

// WriteChrome writes events in Chrome's trace event format, with a process for each
// instance and a thread for each trace. Events of the same millisecond get fractions
// of it, so that they keep the order of their clocks. Missing processes are named in
// otherData. It fails with ErrInternal if w fails.
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

// numberTable assigns numbers to names and adds a metadata event for each new name.
type numberTable struct {
	metadata string
	byName   map[string]int
}

func newNumberTable(metadata string) *numberTable {
	return &numberTable{metadata: metadata, byName: map[string]int{}}
}

// numberOf returns the number of a name. process is the process of a thread, and zero
// if the name is that of a process.
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
