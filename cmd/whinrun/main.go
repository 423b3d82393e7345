// Command whinrun is the dispatcher: it takes messages over HTTP/2 push and AMQP and carries them to partners.
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

type serveCmd struct {
	Config string `required:"" type:"path" help:"Settings file (INI)."`
}

type checkCmd struct {
	Config string `required:"" type:"path" help:"Settings file (INI)."`
}

type (
	demoCmd      struct{}
	referenceCmd struct{}
	versionCmd   struct{}
)

// errUsage ends with 2: what was asked for can't be done as it stands.
type errUsage struct{ error }

func main() {
	k := kong.Parse(&cli, kong.Name("whinrun"), kong.Description("Delivers messages to partners over HTTP/2 push, and answers each exactly once."),
		kong.UsageOnError())
	err := k.Run()
	var usage errUsage
	switch {
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "whinrun:", oneLine(err))
		os.Exit(1)
	}
}

// oneLine is an error as one line: those that are joined stand on several.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return errUsage{err}
	}
	fmt.Println("well:", cfg.Describe())
	return nil
}

func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return errUsage{err}
	}
	log, err := logs.New(os.Stderr, cfg.LogLevel, cfg.LogLinesPerSecond)
	if err != nil {
		return errUsage{err}
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(cfg.GCPercent)
	}
	// Before anything is taken: a signal that comes while starting counts, too.
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
	case all := <-stopped:
		if !all {
			return errors.New("stopped with messages that have no answer")
		}
		return nil
	case <-signals:
		return errors.New("ended at once by a second signal")
	}
}

func (demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, os.Stdout)
}

func (referenceCmd) Run() error {
	_, err := fmt.Print(config.Reference())
	return err
}

func (versionCmd) Run() error {
	version := "development"
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" && b.Main.Version != "(devel)" {
		version = b.Main.Version
	}
	fmt.Println("whinrun", version)
	return nil
}
