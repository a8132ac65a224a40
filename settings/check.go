package settings

import (
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// minMaxAge is the lowest value of process.max_age. It leaves time to read the log
// through a peer that itself reads through another peer.
const minMaxAge = 4 * time.Second

func itoa(n int) string { return strconv.Itoa(n) }

// faultList collects the faults of a settings file, each with its key.
type faultList struct {
	faults []string
	// addresses maps each listen address to the key that sets it.
	addresses map[string]string
}

func (f *faultList) add(key, fault string) { f.faults = append(f.faults, key+": "+fault) }

func (f *faultList) require(key, value string) {
	if value == "" {
		f.add(key, "is missing")
	}
}

func (f *faultList) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(key, "must be an IP address and a port, such as 127.0.0.1:8080")
		return
	}
	if other := f.addresses[value]; other != "" {
		f.add(key, "is the same address as "+other)
		return
	}
	f.addresses[value] = key
}

func (f *faultList) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		f.add(key, "must be a URL such as http://127.0.0.1:8080")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.add(key, "must name its host by an IP address and a port")
	}
}

func (f *faultList) positive(key string, value int) {
	if value <= 0 {
		f.add(key, "must be above zero")
	}
}

// check returns all faults in the sections that the role uses.
func (s *Settings) check() []string {
	f := &faultList{addresses: map[string]string{}}
	if err := s.Policy.Validate(); err != nil {
		f.faults = append(f.faults, protocol.ProblemOf(err).Detail)
	}
	switch s.Role {
	case RoleEntry:
		s.checkProcess(f)
		s.checkEntry(f)
	case RoleSidecar:
		s.checkProcess(f)
		s.checkTargets(f)
	case RoleClient:
		s.checkClient(f)
	case RoleStandInLog, RoleStandInStore, RoleStandInEngine, RoleStandInPlain:
		f.address("standin.listen", s.StandIn.Listen)
	case RoleStandInList:
		f.address("standin.listen", s.StandIn.Listen)
		s.checkInstances(f)
	default:
		f.add("role", "is missing or unknown: "+strconv.Quote(string(s.Role)))
	}
	return f.faults
}

func (s *Settings) checkProcess(f *faultList) {
	f.require("process.instance", s.Process.Instance)
	f.require("process.data_centre", s.Process.DataCentre)
	f.require("process.peer_secret", s.Process.PeerSecret)
	f.address("process.http", s.Process.HTTP)
	f.address("process.peer", s.Process.Peer)
	f.url("platform.log", s.Platform.Log)
	f.url("platform.instances", s.Platform.Instances)
	if s.Process.DrainTimeout <= 0 {
		f.add("process.drain_timeout", "must be above zero")
	}
	if time.Duration(s.Process.MaxAge) < minMaxAge {
		f.add("process.max_age", "must be at least "+minMaxAge.String())
	}
	if s.Platform.LogRetention < 0 {
		f.add("platform.log_retention", "must not be negative")
	}
}

func (s *Settings) checkEntry(f *faultList) {
	if s.Entry.KeepResults < 0 {
		f.add("entry.keep_results", "must not be negative")
	}
	if len(s.Entry.OperatorKeys) == 0 {
		f.add("entry.operator_keys", "must name at least one key")
	}
	if len(s.Entry.Callers) == 0 {
		f.add("entry.caller", "must name at least one caller")
	}
	seen := map[string]bool{}
	for i, c := range s.Entry.Callers {
		key := "entry.caller[" + itoa(i) + "]"
		f.require(key+".workspace", c.Workspace)
		f.require(key+".key", c.Key)
		if seen[c.Key] {
			f.add(key+".key", "is the key of another caller")
		}
		seen[c.Key] = true
	}
	f.positive("entry.attempts", s.Entry.Attempts)
	f.positive("entry.max_body_bytes", int(s.Entry.MaxBodyBytes))
	f.positive("entry.max_file_bytes", int(s.Entry.MaxFileBytes))
}

func (s *Settings) checkTargets(f *faultList) {
	if len(s.Targets) == 0 {
		f.add("target", "must name at least one target")
	}
	names := map[string]bool{}
	for i, t := range s.Targets {
		key := "target[" + itoa(i) + "]"
		f.require(key+".name", t.Name)
		if names[t.Name] {
			f.add(key+".name", "is the name of another target")
		}
		names[t.Name] = true
		if t.Type != TargetEngine && t.Type != TargetService {
			f.add(key+".type", `must be "engine" or "service"`)
		}
		f.url(key+".url", t.URL)
		f.positive(key+".slots", t.Slots)
		if t.Reserve < 0 || t.Reserve > t.Slots {
			f.add(key+".reserve", "must be between zero and slots")
		}
		if t.StallTimeout < 0 {
			f.add(key+".stall_timeout", "must not be negative")
		}
		if t.Queue < 0 {
			f.add(key+".queue", "must not be negative")
		}
	}
}

func (s *Settings) checkClient(f *faultList) {
	if len(s.Client.Entries) == 0 {
		f.add("client.entries", "must name at least one entry")
	}
	for i, e := range s.Client.Entries {
		f.url("client.entries["+itoa(i)+"]", e)
	}
}

func (s *Settings) checkInstances(f *faultList) {
	for i, inst := range s.StandIn.List.Instances {
		key := "standin.list.instance[" + itoa(i) + "]"
		f.require(key+".name", inst.Name)
		if inst.Role != backend.RoleEntry && inst.Role != backend.RoleSidecar {
			f.add(key+".role", `must be "entry" or "sidecar"`)
		}
		f.address(key+".http", inst.HTTP)
		f.address(key+".peer", inst.Peer)
	}
}
