package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/emulator"
)

func (c *Commander) emulateCommand() *ffcli.Command {
	return c.buildCommand(ffcli.Command{
		Name: "emulate", ShortUsage: "catkindyke emulate platform|backend [flags]",
		ShortHelp:   "Emulates an external system, for tests on one machine.",
		Subcommands: []*ffcli.Command{c.emulatePlatformCommand(), c.emulateBackendCommand()},
	})
}

func (c *Commander) emulatePlatformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7000", "address to listen on, host:port")
	reads := fs.Int("reads", 2000, "reads allowed each second; 0 is no limit")
	writes := fs.Int("writes", 300, "writes allowed each second; 0 is no limit")
	return c.buildCommand(ffcli.Command{
		Name: "platform", ShortUsage: "catkindyke emulate platform [flags]",
		ShortHelp: "Serves the object API and the host list from memory.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *reads < 0 || *writes < 0 {
				return usageError("emulate platform takes no arguments and no negative budget")
			}
			return c.serveHTTP(ctx, *address, emulator.NewPlatform(emulator.Budget{ReadsPerSecond: *reads, WritesPerSecond: *writes}))
		},
	})
}

func (c *Commander) emulateBackendCommand() *ffcli.Command {
	fs := flag.NewFlagSet("backend", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "address to listen on, host:port")
	name := fs.String("server-name", "backend", "name included in each response")
	serviceTime := fs.Duration("service-time", 20*time.Millisecond, "processing time of a request, as a duration such as 20ms")
	slots := fs.Int("slots", 3, "requests that run at once")
	return c.buildCommand(ffcli.Command{
		Name: "backend", ShortUsage: "catkindyke emulate backend [flags]",
		ShortHelp: "Runs a backend server that echoes each request.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *slots < 1 || *serviceTime < 0 {
				return usageError("emulate backend takes no arguments, at least 1 slot and no negative service time")
			}
			return c.serveHTTP(ctx, *address, emulator.NewBackend(emulator.BackendConfig{Name: *name, ServiceTime: *serviceTime, Slots: *slots}))
		},
	})
}

func (c *Commander) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "address=%s\n", l.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
