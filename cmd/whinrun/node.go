package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"whinrun/internal/logs"
	"whinrun/internal/platform"
)

type nodeCmd struct{}

// Settings of the program itself on the platform. Threads that wait for a socket must not keep others from running: so
// there are more of them than cores.
const (
	nodeThreads   = 4
	nodeLogLines  = 20    // a second
	traceLogLines = 10000 // a second, with WHINRUN_TRACE set
)

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
	// Before anything is taken: a signal that comes while starting counts, too.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	n, err := platform.Start(cfg, log)
	if err != nil {
		return err
	}
	var stopped chan struct{} // nil until it stops
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP: // also while stopping: notices are still owed
				reload(n, log)
			case stopped == nil:
				stopped = make(chan struct{})
				go func() {
					n.Stop()
					close(stopped)
				}()
			}
		case <-stopped:
			return nil
		}
	}
}

// reload has a new configuration take effect, or leaves the old one in force.
func reload(n *platform.Node, log *logs.Logger) {
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		log.Warn("node", "the old settings stay in force: %v", err)
		return
	}
	n.Reload(cfg)
}
