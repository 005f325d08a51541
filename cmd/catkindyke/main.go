// Command catkindyke is a global traffic steering system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"catkindyke/cmd/catkindyke/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:]))
}
