// Command whinrun is the dispatcher. It accepts messages over HTTP/2 push and AMQP and delivers them to partners.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"whinrun/internal/config"
	"whinrun/internal/demo"
	"whinrun/internal/logs"
	"whinrun/internal/service"
)

// cli holds the commands and their flags. kong derives their names from the field names.
var cli struct {
	Serve     serveCmd     `cmd:"" help:"Run the dispatcher."`
	Node      nodeCmd      `cmd:"" help:"Run the dispatcher on the platform: all is told by EDGE_CONFIG and its kin."`
	Check     checkCmd     `cmd:"" help:"Say what is wrong with a settings file, a line each; exit 2 if anything is."`
	Audit     auditCmd     `cmd:"" help:"Look into the trail of all messages, and check it."`
	Receipt   receiptCmd   `cmd:"" help:"Check signed receipts."`
	Demo      demoCmd      `cmd:"" help:"Show a dispatcher with stand-in partners and a short load, in one process on loopback."`
	Reference referenceCmd `cmd:"" help:"Print the reference of all settings."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

// serveCmd runs the dispatcher with a settings file.
type serveCmd struct {
	Config string `required:"" type:"path" help:"Settings file (INI)."`
}

// checkCmd checks a settings file.
type checkCmd struct {
	Config string `required:"" type:"path" help:"Settings file (INI)."`
}

type (
	// demoCmd runs the demonstration.
	demoCmd struct{}
	// referenceCmd prints the reference of all settings.
	referenceCmd struct{}
	// versionCmd prints the version.
	versionCmd struct{}
)

// usageError is an error in the settings or the configuration. The program exits with status 2.
type usageError struct{ error }

func main() {
	app := kong.Parse(&cli, kong.Name("whinrun"), kong.Description("Delivers messages to partners over HTTP/2 push, and answers each exactly once."),
		kong.UsageOnError())
	err := app.Run()
	var usage usageError
	switch {
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "whinrun:", singleLine(err))
		os.Exit(1)
	}
}

// singleLine formats an error on one line. Joined errors have a line break between them.
func singleLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// Run checks the settings and prints a summary of them, or one line for each problem.
func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return usageError{err}
	}
	fmt.Println("well:", cfg.Describe())
	return nil
}

// Run serves until the first SIGTERM or interrupt and then stops gracefully. A second signal ends it at once.
func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return usageError{err}
	}
	log, err := logs.New(os.Stderr, cfg.LogLevel, cfg.LogLinesPerSecond)
	if err != nil {
		return usageError{err}
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(cfg.GCPercent)
	}
	if cfg.MemoryLimit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(cfg.MemoryLimit)
	}
	// Signals are registered before the start, so that a signal that arrives during the start is not lost.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	s, err := service.Start(cfg, log, nil)
	if err != nil {
		return err
	}
	<-signals
	ctx, stop := context.WithTimeout(context.Background(), cfg.StopTimeout*5/4)
	defer stop()
	stopped := make(chan bool, 1)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case answered := <-stopped:
		if !answered {
			return errors.New("stopped before all messages were answered")
		}
		return nil
	case <-signals:
		return errors.New("terminated by a second signal before the stop was complete")
	}
}

// Run runs the demonstration until it ends or a signal arrives.
func (demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, os.Stdout)
}

// Run prints the reference page.
func (referenceCmd) Run() error {
	_, err := fmt.Print(config.Reference())
	return err
}

// Run prints the module version, or "development" if the build has none.
func (versionCmd) Run() error {
	version := "development"
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" && b.Main.Version != "(devel)" {
		version = b.Main.Version
	}
	fmt.Println("whinrun", version)
	return nil
}
