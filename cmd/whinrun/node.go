package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"whinrun/internal/logs"
	"whinrun/internal/platform"
)

// nodeCmd runs the dispatcher on the platform. Its configuration comes from environment variables.
type nodeCmd struct{}

// These are settings of the program itself on the platform.
const (
	// nodeThreads is the value of GOMAXPROCS. It is larger than the number of cores, so that threads that wait for a socket
	// do not keep others from running.
	nodeThreads = 4
	// nodeLogLines is the highest rate of log lines per second.
	nodeLogLines = 20
	// traceLogLines is the highest rate of log lines per second if WHINRUN_TRACE is set.
	traceLogLines = 10000
)

// Run runs the node until SIGTERM or an interrupt and then stops gracefully. SIGHUP reloads the configuration.
func (nodeCmd) Run() error {
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return usageError{err}
	}
	level, lines := "info", float64(nodeLogLines)
	if cfg.Trace = os.Getenv("WHINRUN_TRACE") != ""; cfg.Trace {
		level, lines = "debug", traceLogLines
	}
	log, err := logs.New(os.Stdout, level, lines)
	if err != nil {
		return usageError{err}
	}
	runtime.GOMAXPROCS(nodeThreads)
	debug.SetMemoryLimit(cfg.Limits.HeapLimit())
	// Signals are registered before the start, so that a signal that arrives during the start is not lost.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	// A signal to end also ends the wait of the start for discovery. The stop begins behind the start.
	starting, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	node, err := platform.Start(starting, cfg, log)
	release()
	if err != nil {
		return err
	}
	// stopped is nil until the stop begins.
	var stopped chan struct{}
	for {
		select {
		case s := <-signals:
			switch {
			// SIGHUP also works during a stop, because notices still have to be delivered.
			case s == syscall.SIGHUP:
				reload(node, log)
			case stopped == nil:
				stopped = make(chan struct{})
				go func() {
					node.Stop()
					close(stopped)
				}()
			}
		case <-stopped:
			return nil
		}
	}
}

// reload applies the new configuration. If it cannot be loaded, the old one stays in use.
func reload(node *platform.Node, log *logs.Logger) {
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		log.Warn("node", "the old settings stay in force: %v", err)
		return
	}
	node.Reload(cfg)
}
