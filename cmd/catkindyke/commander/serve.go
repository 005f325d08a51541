package commander

import (
	"context"
	"flag"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/logger"
	"catkindyke/pkg/reloader"
	"catkindyke/pkg/runner"
	"catkindyke/pkg/tracer"
)

// serveFlags holds the flags of the serve command.
type serveFlags struct {
	name, region, zone                          string
	store, seedPeers                            string
	callerAddress, operatorAddress, peerAddress string
	logLevel, logSubsystems                     string
	traceEndpoint                               string
	traceRatio                                  float64
	stopTimeout                                 time.Duration
	insecurePeers                               bool
	peerTLSFiles, callerTLSFiles                reloader.Config
}

func (c *Commander) serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	var f serveFlags
	fs.StringVar(&f.name, "name", "", "name of this host, unique in the fleet")
	fs.StringVar(&f.region, "region", "", "region of this host")
	fs.StringVar(&f.zone, "availability-zone", "", "availability zone of this host")
	fs.StringVar(&f.store, "store", "", "URL of the platform's object API")
	fs.StringVar(&f.seedPeers, "seeds", "", "comma-separated peer addresses of other hosts, used while the store is down")
	fs.StringVar(&f.callerAddress, "caller-address", "127.0.0.1:7001", "address for callers, host:port")
	fs.StringVar(&f.operatorAddress, "operator-address", "127.0.0.1:7002", "address for operators, host:port")
	fs.StringVar(&f.peerAddress, "peer-address", "127.0.0.1:7003", "address for other hosts, host:port")
	fs.StringVar(&f.logLevel, "log-level", "info", "lowest level logged: debug, info, warn or error")
	fs.StringVar(&f.logSubsystems, "log-subsystems", "", "comma-separated subsystems to log; all when empty")
	fs.StringVar(&f.traceEndpoint, "trace-endpoint", "", "URL of an OTLP/HTTP collector for traces; none when empty")
	fs.Float64Var(&f.traceRatio, "trace-ratio", 0.01, "share of requests that are traced, from 0 to 1")
	fs.DurationVar(&f.stopTimeout, "stop-timeout", 10*time.Minute, "maximum time for a planned stop, as a duration such as 90s")
	fs.StringVar(&f.peerTLSFiles.CertFile, "peer-cert", "", "PEM file with this host's certificate for connections between hosts, issued for the DNS name "+reloader.PeerName)
	fs.StringVar(&f.peerTLSFiles.KeyFile, "peer-key", "", "PEM file with the private key of -peer-cert")
	fs.StringVar(&f.peerTLSFiles.CAFile, "peer-ca", "", "PEM file with the certificates that sign hosts' certificates")
	fs.BoolVar(&f.insecurePeers, "insecure-peers", false, "connect to other hosts without TLS; for tests on one machine only")
	fs.StringVar(&f.callerTLSFiles.CertFile, "caller-cert", "", "PEM file with the certificate for callers; plain HTTP when empty")
	fs.StringVar(&f.callerTLSFiles.KeyFile, "caller-key", "", "PEM file with the private key of -caller-cert")
	return c.buildCommand(ffcli.Command{
		Name: "serve", ShortUsage: "catkindyke serve [flags]",
		ShortHelp: "Runs one entry host until it is interrupted.", FlagSet: fs,
		LongHelp: "The first interrupt starts a planned stop, in which no request is cut; see docs/operations.",
		Exec:     func(ctx context.Context, args []string) error { return c.runServe(ctx, f, args) },
	})
}

func (c *Commander) runServe(ctx context.Context, f serveFlags, args []string) error {
	if len(args) > 0 {
		return usageError("serve takes no arguments, got %q", args[0])
	}
	for name, v := range map[string]string{"name": f.name, "region": f.region, "availability-zone": f.zone, "store": f.store} {
		if v == "" {
			return usageError("-%s is missing (or %s)", name, EnvName(name))
		}
	}
	log, err := logger.New(logger.Config{Output: c.stderr, Level: f.logLevel, Subsystems: splitList(f.logSubsystems), Host: f.name})
	if err != nil {
		return usageError("%v", err)
	}
	cfg := runner.Config{
		Name: f.name, Region: f.region, AvailabilityZone: f.zone, StoreURL: f.store, Seeds: splitList(f.seedPeers),
		Loggers: log, Tracing: tracer.Config{Endpoint: f.traceEndpoint, Host: f.name, SampleRatio: f.traceRatio},
	}
	if err := f.loadTLS(&cfg); err != nil {
		return err
	}
	if err := listenAll(&cfg, f.callerAddress, f.operatorAddress, f.peerAddress); err != nil {
		return err
	}
	host, err := runner.Start(cfg)
	if err != nil {
		return err
	}
	host.Meter().Publish()
	fmt.Fprintf(c.stdout, "caller=%s operator=%s peer=%s\n", host.CallerAddress(), host.OperatorAddress(), host.PeerAddress())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), f.stopTimeout)
	defer cancel()
	return host.Stop(stopCtx)
}

// loadTLS loads the certificates for connections with other hosts and callers.
func (f serveFlags) loadTLS(cfg *runner.Config) error {
	if !f.insecurePeers {
		if f.peerTLSFiles.CertFile == "" || f.peerTLSFiles.KeyFile == "" || f.peerTLSFiles.CAFile == "" {
			return usageError("-peer-cert, -peer-key and -peer-ca are needed, or -insecure-peers for a test on one machine")
		}
		peers, err := reloader.New(f.peerTLSFiles)
		if err != nil {
			return err
		}
		cfg.PeerServerTLS, cfg.PeerClientTLS = peers.PeerServerTLS(), peers.PeerClientTLS()
	}
	if f.callerTLSFiles.CertFile == "" {
		return nil
	}
	callers, err := reloader.New(f.callerTLSFiles)
	if err != nil {
		return err
	}
	cfg.CallerTLS = callers.CallerTLS()
	return nil
}

func listenAll(cfg *runner.Config, caller, operator, peer string) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&cfg.CallerListener, caller}, {&cfg.OperatorListener, operator}, {&cfg.PeerListener, peer}} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return err
		}
	}
	return nil
}

func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
