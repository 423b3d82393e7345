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
		return errUsage{err}
	}
	level, lines := "info", float64(nodeLogLines)
	if cfg.Trace = os.Getenv("WHINRUN_TRACE") != ""; cfg.Trace {
		level, lines = "debug", traceLogLines
	}
	log, err := logs.New(os.Stdout, level, lines)
	if err != nil {
		return errUsage{err}
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
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		if cfg, err := platform.Load(os.Getenv); err != nil {
			log.Warn("node", "the old settings stay in force: %v", err)
		} else {
			n.Reload(cfg)
		}
	}
	n.Stop()
	return nil
}
