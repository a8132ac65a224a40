package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"
	"github.com/uptrace/bunrouter"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/instrument"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/reload"
	"github.com/sycamoretally/sycamoretally/transport"
	"github.com/sycamoretally/sycamoretally/transport/boottime"
)

const (
	// headerTimeout is the time allowed for reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = time.Minute
	// memoryLimitShare is the share of the instance's memory that the Go runtime may use
	// before it collects garbage more often.
	memoryLimitShare = 0.6
	// metricsPort and metricsPath are the port and path of each role's metrics. The
	// deployment file names them too.
	metricsPort = "9464"
	metricsPath = "/metrics"
	// logFlushTimeout is the time allowed for writing the last log lines.
	logFlushTimeout = 500 * time.Millisecond
	// lastAnswersTimeout is the time allowed for writing the last answers to callers.
	lastAnswersTimeout = 200 * time.Millisecond
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection.
	gcPercent = 60
	// startSpread is the time over which processes that start at the same moment, as after a
	// loss of power, spread their first reads of the work log.
	startSpread = 400 * time.Millisecond
)

// loadNode reads the platform's settings and sets the garbage collector's target and
// the memory limit.
func loadNode() (*fleet.Node, error) {
	node, err := platform.LoadNode(platform.SettingsPath())
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(node)
	return node, nil
}

func setMemoryLimit(node *fleet.Node) {
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(node.MemoryMB<<20) * memoryLimitShare))
	}
}

// process holds the parts that every role on the platform has.
type process struct {
	signals  <-chan os.Signal
	node     *fleet.Node
	log      *logs.Writer
	registry *prometheus.Registry
	store    fleet.Store
	pool     *transport.ConnPool
}

// newProcess registers for signals, starts logging to standard output, reads the
// settings and serves the role's metrics.
func newProcess(role string) (*process, error) {
	p := &process{
		signals: notifySignals(), log: logs.NewWriter(os.Stdout), registry: prometheus.NewRegistry(), pool: transport.NewConnPool(),
	}
	p.log.Install()
	klog.InfoS("process starting", "role", role, "settings", platform.SettingsPath())
	node, err := loadNode()
	if err != nil {
		p.log.Close(logFlushTimeout)
		return nil, err
	}
	p.node = node
	p.store = instrument.NewStore(platform.NewStore(node.StoreAddress), p.registry)
	instrument.RegisterLogMetrics(p.log, p.registry)
	router := bunrouter.New()
	router.GET(metricsPath, bunrouter.HTTPHandler(promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})))
	_, err = listenAndServe(net.JoinHostPort(node.Address, metricsPort), router)
	return p, err
}

// listenAndServe serves the handler at the address until the process ends or the server is
// shut down.
func listenAndServe(address string, h http.Handler) (*http.Server, error) {
	config := net.ListenConfig{Control: transport.SetUserTimeout}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fleet.ErrMalformed.Wrap(err, "listen on %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "server ended", "address", address)
		}
	}()
	return server, nil
}

// listenDatagrams opens the socket for messages between gateways and batchers. It
// returns nil if no port is set or the socket can't be opened; gateways then place
// streams by the load that they know themselves.
func (p *process) listenDatagrams(loads transport.LoadReporter) *transport.Datagrams {
	if p.node.PeerPort == "" {
		return nil
	}
	datagrams, err := transport.ListenDatagrams(net.JoinHostPort(p.node.Address, p.node.PeerPort), loads)
	if err != nil {
		klog.ErrorS(nil, "no messages between gateways and batchers", "error", protocol.CauseOf(err))
		return nil
	}
	return datagrams
}

// awaitStop returns when a stop signal arrives. Until then it reloads the settings
// whenever they change and passes them to apply.
func (p *process) awaitStop(apply func(*fleet.Node)) {
	settings := reload.New(reload.Params{
		Path: platform.SettingsPath(), Load: platform.LoadNode,
		Apply: func(node *fleet.Node) {
			setMemoryLimit(node)
			apply(node)
		},
	}, p.node)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go settings.Run(ctx) // not waited for: a read that hangs must not delay the shutdown
	awaitStopSignal(p.signals, settings.Notify)
}

// roleCommand returns the command that runs a role until it stops.
func roleCommand(use, short string, run func(*process) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, err := newProcess(use)
			if err != nil {
				return err
			}
			defer p.log.Close(logFlushTimeout)
			return run(p)
		},
	}
}

func gatewayCommand() *cobra.Command {
	return roleCommand("gateway", "Run a gateway on the users' platform: callers' requests and batch jobs", runGateway)
}

func runGateway(p *process) error {
	targets := platform.NewTargetClient(p.pool)
	params := gateway.Params{
		Node: p.node, Store: p.store, Sender: targets, HasEnded: targets.HasEnded,
		Decoder: platform.Decoder{}, IsConnected: p.pool.HasIdle, Sweep: p.pool.CloseExpired, Registry: p.registry, Now: boottime.Now,
		StartSpread: startSpread,
	}
	datagrams := p.listenDatagrams(nil)
	if datagrams != nil {
		params.LoadQuerier, params.RateMessages, params.CrashRecorder = datagrams, datagrams, datagrams
	}
	g := gateway.New(params)
	if datagrams != nil {
		datagrams.HandleRates(g.Rates())
	}
	g.Start()
	if _, err := listenAndServe(p.node.ReadyAddress, platform.NewReadiness(g.Ready)); err != nil {
		return err
	}
	callers, err := listenAndServe(p.node.CallerAddress, platform.NewIngress(g))
	if err != nil {
		return err
	}
	p.awaitStop(g.Reload)
	g.Drain()
	writeLastAnswers(callers)
	return g.Stop()
}

// writeLastAnswers closes the server to callers once the answers to requests that have ended
// are written.
func writeLastAnswers(callers *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("connections of callers cut", "error", err)
	}
}

func batcherCommand() *cobra.Command {
	return roleCommand("batcher", "Run a batcher on the users' platform: items of batch jobs beside a target", runBatcher)
}

func runBatcher(p *process) error {
	targets := platform.NewTargetClient(p.pool)
	b := batcher.New(batcher.Params{
		Node: p.node, Store: p.store, Sender: targets, Reporter: targets, Decoder: platform.Decoder{}, Registry: p.registry, StartSpread: startSpread,
		ReadSettings: func() (*fleet.Node, error) { return platform.LoadNode(platform.SettingsPath()) }, Now: boottime.Now,
	})
	p.listenDatagrams(b)
	b.Start()
	p.awaitStop(b.Reload)
	return b.Stop()
}

func nodeCommand() *cobra.Command {
	node := &cobra.Command{Use: "node", Short: "Settings of an instance on the users' platform"}
	node.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Read a settings file and print its values, or every fault with its key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := platform.LoadNode(args[0])
			if err != nil {
				return err
			}
			return printJSON(cmd, n)
		},
	})
	return node
}
