// Package settings reads the TOML settings of every role: defaults, strict keys
// and checks that report all faults of a file at once, each with its key.
package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Role names what a process is.
type Role string

// The roles that a settings file can configure.
const (
	RoleEntry         Role = "entry"
	RoleSidecar       Role = "sidecar"
	RoleClient        Role = "client"
	RoleStandInLog    Role = "standin-log"
	RoleStandInList   Role = "standin-list"
	RoleStandInStore  Role = "standin-store"
	RoleStandInEngine Role = "standin-engine"
	RoleStandInPlain  Role = "standin-service"
)

// Settings is one settings file. A section that its role does not use is ignored.
type Settings struct {
	Role     Role     `toml:"role"`
	Process  Process  `toml:"process"`
	Platform Platform `toml:"platform"`
	Entry    Entry    `toml:"entry"`
	Targets  []Target `toml:"target"`
	Client   Client   `toml:"client"`
	StandIn  StandIn  `toml:"standin"`
	Policy   Policy   `toml:"policy"`
}

// Process holds what every process of the system needs.
type Process struct {
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// HTTP and Peer are the addresses to listen on, as IP:port.
	HTTP string `toml:"http"`
	Peer string `toml:"peer"`
	// PeerSecret authenticates the system's processes to each other.
	PeerSecret string `toml:"peer_secret"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `toml:"drain_timeout"`
	// MaxAge is the time after which a process that cannot tell whether it is
	// current counts as not ready.
	MaxAge Duration `toml:"max_age"`
	// QuarantineTime is how long a call that crashed targets is refused.
	QuarantineTime Duration `toml:"quarantine_time"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Log string `toml:"log"`
	// LogRetention is how long the log keeps an entry; zero means for ever.
	LogRetention Duration `toml:"log_retention"`
	Instances    string   `toml:"instances"`
	Weights      string   `toml:"weights"`
}

// Entry holds what an entry needs besides.
type Entry struct {
	// OperatorKeys are the bearer tokens that may change configuration.
	OperatorKeys []string `toml:"operator_keys"`
	// Callers maps callers' bearer tokens to workspaces.
	Callers []Caller `toml:"caller"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxFileBytes bounds an uploaded batch file.
	MaxFileBytes int64 `toml:"max_file_bytes"`
	// Attempts bounds the attempts of one request.
	Attempts int `toml:"attempts"`
	// KeepResults is how long the result of a finished request or job can be read.
	KeepResults Duration `toml:"keep_results"`
}

// Caller is one caller's key.
type Caller struct {
	Workspace string `toml:"workspace"`
	Key       string `toml:"key"`
}

// TargetType tells model engines from plain services.
type TargetType string

// The types of target.
const (
	TargetEngine  TargetType = "engine"
	TargetService TargetType = "service"
)

// Target is a target beside a sidecar.
type Target struct {
	Name   string            `toml:"name"`
	Type   TargetType        `toml:"type"`
	URL    string            `toml:"url"`
	Labels map[string]string `toml:"labels"`
	// Slots is the number of requests that the target runs at the same time.
	Slots int `toml:"slots"`
	// Reserve is the number of slots that batch work leaves free.
	Reserve int `toml:"reserve"`
	// Queue is the number of online requests that may wait for a slot.
	Queue int `toml:"queue"`
	// MaxWait is the longest time that online work should wait for a slot; more of
	// it is refused at once.
	MaxWait Duration `toml:"max_wait"`
	// StallTimeout is how long an engine may send nothing of an answer before
	// the attempt is given up.
	StallTimeout Duration `toml:"stall_timeout"`
}

// Client holds what the command line needs to reach the system.
type Client struct {
	// Entries are the base URLs of entries; the first that answers is used.
	Entries     []string `toml:"entries"`
	OperatorKey string   `toml:"operator_key"`
	CallerKey   string   `toml:"caller_key"`
}

// StandIn holds the settings of the stand-ins.
type StandIn struct {
	Listen  string         `toml:"listen"`
	Log     StandInLog     `toml:"log"`
	List    StandInList    `toml:"list"`
	Store   StandInStore   `toml:"store"`
	Engine  StandInEngine  `toml:"engine"`
	Service StandInService `toml:"service"`
}

// StandInLog holds the settings of the log service's stand-in.
type StandInLog struct {
	AppendsPerSecond float64  `toml:"appends_per_second"`
	Retention        Duration `toml:"retention"`
}

// StandInList holds the settings of the instance list's stand-in.
type StandInList struct {
	Lag       Duration           `toml:"lag"`
	Instances []backend.Instance `toml:"instance"`
}

// StandInStore holds the settings of the weight store's stand-in.
type StandInStore struct {
	FetchesPerSecond float64 `toml:"fetches_per_second"`
	Burst            int     `toml:"burst"`
	SizeBytes        int     `toml:"size_bytes"`
}

// StandInEngine holds the settings of an engine's stand-in.
type StandInEngine struct {
	Width       int      `toml:"width"`
	TokenTime   Duration `toml:"token_time"`
	PrefillTime Duration `toml:"prefill_time"`
	CacheTokens int      `toml:"cache_tokens"`
	ReportLag   Duration `toml:"report_lag"`
	ChecksFence bool     `toml:"checks_fence"`
	RestartTime Duration `toml:"restart_time"`
	LoadTime    Duration `toml:"load_time"`
}

// StandInService holds the settings of a plain service's stand-in.
type StandInService struct {
	DelayMillis int `toml:"delay_ms"`
}

// Duration is a time in a settings file, written as in "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrSettings.New("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// ErrSettings is the type of every fault in a settings file.
var ErrSettings = protocol.Errors.NewType("settings")

// Default returns the values in force where a file is silent.
func Default() Settings {
	return Settings{
		Process:  Process{DrainTimeout: Duration(30 * time.Second), MaxAge: Duration(10 * time.Second), QuarantineTime: Duration(10 * time.Minute)},
		Platform: Platform{LogRetention: Duration(24 * time.Hour)},
		Entry: Entry{
			MaxBodyBytes: 1 << 20,
			MaxFileBytes: 128 << 20,
			Attempts:     4,
			KeepResults:  Duration(7 * 24 * time.Hour),
		},
		StandIn: StandIn{
			Log:    StandInLog{AppendsPerSecond: 300},
			List:   StandInList{Lag: Duration(2 * time.Second)},
			Store:  StandInStore{FetchesPerSecond: 1, Burst: 1, SizeBytes: 1 << 20},
			Engine: StandInEngine{Width: 8, TokenTime: Duration(10 * time.Millisecond), CacheTokens: 4096, ReportLag: Duration(2 * time.Second), RestartTime: Duration(time.Second)},
		},
	}
}

// The defaults of a target.
const (
	DefaultSlots = 8
	DefaultQueue = 64
	// DefaultMaxWait leaves a third of the 0.74 s to the first token for the rest.
	DefaultMaxWait = Duration(500 * time.Millisecond)
)

// Load reads the file at path and checks it. The error, of type ErrSettings,
// lists every fault, one a line.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "read settings")
	}
	s, faults := Parse(data)
	if len(faults) > 0 {
		return nil, ErrSettings.New("%s:\n%s", path, strings.Join(faults, "\n"))
	}
	return s, nil
}

// Parse reads settings and returns every fault found, each starting with its key.
func Parse(data []byte) (*Settings, []string) {
	s := Default()
	faults, readable := DecodeStrict(data, &s)
	if !readable {
		return nil, faults
	}
	for i := range s.Targets {
		s.Targets[i].setDefaults()
	}
	return &s, append(faults, s.check()...)
}

// DecodeStrict decodes TOML into v and returns every fault, each starting with its
// key; readable is false where the text is no TOML or a value has another type.
func DecodeStrict(data []byte, v any) (faults []string, readable bool) {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := dec.Decode(v)
	var unknown *toml.StrictMissingError
	switch {
	case err == nil:
		return nil, true
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			faults = append(faults, strings.Join(e.Key(), ".")+": unknown key")
		}
		return faults, true
	default:
		return []string{syntaxFault(err)}, false
	}
}

func syntaxFault(err error) string {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return "file: " + err.Error()
	}
	row, col := decode.Position()
	key := strings.Join(decode.Key(), ".")
	if key == "" {
		key = "file"
	}
	return strings.TrimSpace(key + ": " + decode.Error() + " at line " + itoa(row) + ", column " + itoa(col))
}

func (t *Target) setDefaults() {
	if t.Slots == 0 {
		t.Slots = DefaultSlots
	}
	if t.Queue == 0 {
		t.Queue = DefaultQueue
	}
	if t.MaxWait == 0 {
		t.MaxWait = DefaultMaxWait
	}
	if t.StallTimeout == 0 {
		t.StallTimeout = Duration(protocol.HeartbeatTimeout)
	}
}
