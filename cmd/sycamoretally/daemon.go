package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/sidecar"
)

// loadSettings reads the settings named by --config and checks that they are for role.
func loadSettings(cmd *cobra.Command, role settings.Role) (*settings.Settings, error) {
	path, err := cmd.Flags().GetString("config")
	if err != nil || path == "" {
		return nil, settings.ErrSettings.New("--config is missing")
	}
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if s.Role != role {
		return nil, settings.ErrSettings.New("%s: role is %q, this command needs %q", path, s.Role, role)
	}
	return s, nil
}

// daemon is a running role.
type daemon interface {
	Start() error
	// Shutdown drains and stops.
	Shutdown() error
}

// signalBuffer bounds the signals that wait to be handled.
const signalBuffer = 4

// notifySignals returns the signals to stop or to read the settings again. A role
// calls it before anything else, so that none ends the process from then on.
func notifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// awaitStopSignal returns when the process is told to stop. It calls hangup, which must not
// block, for each signal that says that the settings file has changed.
func awaitStopSignal(signals <-chan os.Signal, hangup func()) {
	for sig := range signals {
		klog.InfoS("signal received", "signal", sig)
		if sig != syscall.SIGHUP {
			return
		}
		hangup()
	}
}

// logReloadUnsupported tells that a role of the product's own deployment reads its settings
// once.
func logReloadUnsupported() { klog.InfoS("settings are read again at the next start") }

// serve runs d until it is told to stop, and then shuts it down.
func serve(signals <-chan os.Signal, d daemon) error {
	if err := d.Start(); err != nil {
		return err
	}
	awaitStopSignal(signals, logReloadUnsupported)
	return d.Shutdown()
}

func entryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run an entry: the callers' and operators' interface",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := notifySignals()
			s, err := loadSettings(cmd, settings.RoleEntry)
			if err != nil {
				return err
			}
			e, err := entry.New(s, entry.Platform{
				Log:       backend.NewHTTPLog(s.Platform.Log),
				Instances: backend.NewHTTPInstanceList(s.Platform.Instances),
			})
			if err != nil {
				return err
			}
			return serve(signals, e)
		},
	}
}

func sidecarCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "sidecar",
		Short: "Run a sidecar: the only door to its targets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := notifySignals()
			s, err := loadSettings(cmd, settings.RoleSidecar)
			if err != nil {
				return err
			}
			sc, err := sidecar.New(s, sidecar.Platform{
				Log:       backend.NewHTTPLog(s.Platform.Log),
				Instances: backend.NewHTTPInstanceList(s.Platform.Instances),
			})
			if err != nil {
				return err
			}
			return serve(signals, sc)
		},
	}
}

// standIn serves a stand-in's handler until it is told to stop.
type standIn struct {
	address string
	handler http.Handler
	server  *http.Server
}

// Start implements daemon.
func (s *standIn) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return settings.ErrSettings.Wrap(err, "standin.listen")
	}
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	klog.InfoS("stand-in started", "address", s.address)
	return nil
}

// Shutdown implements daemon.
func (s *standIn) Shutdown() error { return s.server.Close() }
