package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/transport"
)

const (
	// headerTimeout bounds the reading of a request's head, idleTimeout how long a
	// caller's connection may be idle.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// memoryShare is the part of the instance's memory that the runtime may fill
	// before it collects more often.
	memoryShare = 0.6
	// collectPercent is how much the heap may grow between two collections.
	collectPercent = 60
)

// loadNode reads the platform's settings and sets the memory limit by them.
func loadNode() (*fleet.Node, error) {
	node, err := platform.LoadNode(platform.SettingsPath())
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(collectPercent)
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(node.MemoryMB<<20) * memoryShare))
	}
	return node, nil
}

// listenAndServe serves the handler at the address until the process ends.
func listenAndServe(address string, h http.Handler) error {
	config := net.ListenConfig{Control: transport.SetUserTimeout}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fleet.ErrMalformed.Wrap(err, "listen at %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		err := server.Serve(l)
		klog.ErrorS(err, "server ended", "address", address)
	}()
	return nil
}

// awaitStop returns when the process is told to stop. A hangup says that the
// settings file has changed, of which nothing is read again.
func awaitStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for sig := range signals {
		klog.InfoS("signal received", "signal", sig)
		if sig != syscall.SIGHUP {
			return
		}
	}
}

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway on the users' platform: callers' requests and batch jobs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			node, err := loadNode()
			if err != nil {
				return err
			}
			pool := transport.NewConnPool()
			g := gateway.New(gateway.Params{
				Node: node, Store: platform.NewStore(node.StoreAddress), Sender: platform.NewTargets(pool),
				Decoder: platform.Decoder{}, Sweep: pool.Sweep,
			})
			g.Start()
			if err := listenAndServe(node.ReadyAddress, platform.NewReadiness(g.Ready)); err != nil {
				return err
			}
			if err := listenAndServe(node.CallerAddress, platform.NewIngress(g)); err != nil {
				return err
			}
			awaitStop()
			g.Drain()
			return g.Stop()
		},
	}
}

func batcherCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "batcher",
		Short: "Run a batcher on the users' platform: items of batch jobs beside a target",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			node, err := loadNode()
			if err != nil {
				return err
			}
			targets := platform.NewTargets(transport.NewConnPool())
			b := batcher.New(batcher.Params{
				Node: node, Store: platform.NewStore(node.StoreAddress), Sender: targets, Reporter: targets, Decoder: platform.Decoder{},
			})
			b.Start()
			awaitStop()
			return b.Stop()
		},
	}
}
