// Package settings reads the TOML settings file of each role. It sets defaults, rejects
// unknown keys and reports all faults of a file at once, each with its key.
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

// Role is the role of a process.
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

// Settings holds the contents of a settings file. Sections that the role does not use
// are ignored.
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

// Process holds the settings that entries and sidecars share.
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
	// MaxAge is how long a process stays ready while it cannot confirm that its state
	// is current.
	MaxAge Duration `toml:"max_age"`
	// QuarantineTime is how long calls that crashed targets are refused.
	QuarantineTime Duration `toml:"quarantine_time"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Log string `toml:"log"`
	// LogRetention is how long the log keeps an entry; zero means without limit.
	LogRetention Duration `toml:"log_retention"`
	Instances    string   `toml:"instances"`
	Weights      string   `toml:"weights"`
}

// Entry holds the settings that only entries use.
type Entry struct {
	// OperatorKeys are the bearer tokens of operators, who may change the configuration.
	OperatorKeys []string `toml:"operator_keys"`
	// Callers maps callers' bearer tokens to workspaces.
	Callers []Caller `toml:"caller"`
	// MaxBodyBytes is the size limit of a request's body.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxFileBytes is the size limit of an uploaded batch file.
	MaxFileBytes int64 `toml:"max_file_bytes"`
	// Attempts is the highest number of attempts per request.
	Attempts int `toml:"attempts"`
	// KeepResults is how long results of finished requests and jobs can be read.
	KeepResults Duration `toml:"keep_results"`
}

// Caller holds the key of a caller and the workspace to which it gives access.
type Caller struct {
	Workspace string `toml:"workspace"`
	Key       string `toml:"key"`
}

// TargetType distinguishes model engines from plain services.
type TargetType string

// The types of target.
const (
	TargetEngine  TargetType = "engine"
	TargetService TargetType = "service"
)

// Target holds the settings of a target that a sidecar serves.
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
	// MaxWait is the longest expected wait of online work for a slot; work that would
	// wait longer is refused immediately.
	MaxWait Duration `toml:"max_wait"`
	// StallTimeout is how long an engine may send no data of an answer before the
	// attempt is abandoned.
	StallTimeout Duration `toml:"stall_timeout"`
}

// Client holds the settings with which the command line connects to the system.
type Client struct {
	// Entries are the base URLs of entries; the first that answers is used.
	Entries     []string `toml:"entries"`
	OperatorKey string   `toml:"operator_key"`
	CallerKey   string   `toml:"caller_key"`
}

// StandIn holds the settings of the stand-ins, which simulate the platform's services
// and targets.
type StandIn struct {
	Listen  string         `toml:"listen"`
	Log     StandInLog     `toml:"log"`
	List    StandInList    `toml:"list"`
	Store   StandInStore   `toml:"store"`
	Engine  StandInEngine  `toml:"engine"`
	Service StandInService `toml:"service"`
}

// StandInLog holds the settings of the stand-in of the log service.
type StandInLog struct {
	AppendsPerSecond float64  `toml:"appends_per_second"`
	Retention        Duration `toml:"retention"`
}

// StandInList holds the settings of the stand-in of the instance list.
type StandInList struct {
	Lag       Duration           `toml:"lag"`
	Instances []backend.Instance `toml:"instance"`
}

// StandInStore holds the settings of the stand-in of the weight store.
type StandInStore struct {
	FetchesPerSecond float64 `toml:"fetches_per_second"`
	Burst            int     `toml:"burst"`
	SizeBytes        int     `toml:"size_bytes"`
}

// StandInEngine holds the settings of the stand-in of an engine.
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

// StandInService holds the settings of the stand-in of a plain service.
type StandInService struct {
	DelayMillis int `toml:"delay_ms"`
}

// Duration is a time.Duration that is written in settings files in the form "1.5s".
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

// ErrSettings is the type of errors about faults in a settings file.
var ErrSettings = protocol.Errors.NewType("settings")

// Default returns the default settings, which apply to keys that a file does not set.
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

// The default settings of a target.
const (
	DefaultSlots = 8
	DefaultQueue = 64
	// DefaultMaxWait leaves a third of the latency target, 0.74 s to the first token, for
	// everything but the wait.
	DefaultMaxWait = Duration(500 * time.Millisecond)
)

// Load reads and checks the settings file at path. The error, of type ErrSettings,
// lists all faults, one per line.
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

// Parse parses and checks settings. It returns all faults, each beginning with its key.
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

// DecodeStrict decodes TOML into v and returns all faults, each beginning with its key.
// It rejects unknown keys. readable is false if the text is not valid TOML or a value has
// the wrong type.
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
