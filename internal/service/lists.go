package service

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"whinrun/control"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/logs"
)

// ListSource is where the whole endpoint list comes from.
type ListSource interface {
	// Load returns the whole list; version changes with it. With an unchanged version the lines do not matter.
	Load(known string) (lines []endpointlist.Endpoint, version string, err error)
}

// fixed is the list of the settings.
type fixed []endpointlist.Endpoint

func (f fixed) Load(string) ([]endpointlist.Endpoint, string, error) { return f, "settings", nil }

// listFile is a list on disk: a line each of PARTNER ADDRESS ready|draining.
type listFile struct{ name string }

func sourceOf(cfg *config.Config) ListSource {
	if cfg.ListFile == "" {
		return fixed(cfg.Endpoints)
	}
	return listFile{cfg.ListFile}
}

func (f listFile) Load(known string) ([]endpointlist.Endpoint, string, error) {
	st, err := os.Stat(f.name)
	if err != nil {
		return nil, "", err
	}
	version := fmt.Sprint(st.ModTime().UnixNano(), st.Size())
	if version == known {
		return nil, known, nil
	}
	text, err := os.ReadFile(f.name)
	if err != nil {
		return nil, "", err
	}
	lines, err := ParseList(f.name, text)
	return lines, version, err
}

// ParseList reads a list file. One bad line makes it all void: half a list would look as if the rest were gone.
func ParseList(name string, text []byte) ([]endpointlist.Endpoint, error) {
	var lines []endpointlist.Endpoint
	var wrong []error
	in := bufio.NewScanner(bytes.NewReader(text))
	in.Buffer(nil, 1<<16)
	n := 0
	for in.Scan() {
		n++
		part := strings.Fields(in.Text())
		if len(part) == 0 || part[0][0] == '#' {
			continue
		}
		l, err := parseLine(part)
		if err != nil {
			wrong = append(wrong, fmt.Errorf("%s:%d: %w", name, n, err))
			continue
		}
		lines = append(lines, l)
	}
	if err := in.Err(); err != nil {
		wrong = append(wrong, fmt.Errorf("%s:%d: %w", name, n+1, err))
	}
	return lines, errors.Join(wrong...)
}

func parseLine(part []string) (l endpointlist.Endpoint, err error) {
	if len(part) != 3 {
		return l, errors.New("not PARTNER ADDRESS ready|draining")
	}
	l.Partner = part[0]
	if l.Addr, err = netip.ParseAddrPort(part[1]); err != nil {
		return l, fmt.Errorf("%q is no address with its port", part[1])
	}
	switch part[2] {
	case "ready":
		l.Health = control.Ready
	case "draining":
		l.Health = control.Draining
	default:
		return l, fmt.Errorf("%q is neither ready nor draining", part[2])
	}
	return l, nil
}

// lists looks at the source and pushes what changed to the engine, on one goroutine.
type lists struct {
	source  ListSource
	roster  *endpointlist.Registry
	log     *logs.Logger
	put     func(engine.ListUpdate)
	quit    chan struct{}
	done    sync.WaitGroup
	version string
	failing bool
}

// start takes the first list at once, so that it is there before the first message, and looks for news every so often.
func (l *lists) start(every time.Duration) {
	l.look(control.ListFull)
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-l.quit:
				return
			case <-tick.C:
				l.look(control.ListDelta)
			}
		}
	}()
}

func (l *lists) look(kind control.ListKind) {
	lines, version, err := l.source.Load(l.version)
	if err != nil {
		if !l.failing {
			l.log.Warn("list", "the list before it stays valid: %v", err)
		}
		l.failing = true
		return
	}
	if l.failing {
		l.log.Info("list", "the list can be read again")
	}
	l.failing = false
	if version == l.version {
		return
	}
	l.version = version
	c := l.roster.Replace(lines)
	for _, odd := range c.Warnings {
		l.log.Warn("list", "%s", odd)
	}
	l.put(engine.ListUpdate{Kind: kind, Entries: c.Entries})
}

func (l *lists) stop() {
	close(l.quit)
	l.done.Wait()
}

// Watch and Fetch are engine.Lists; the list is pushed here, so the module asks for neither.
func (l *lists) Watch() {}

// Fetch is engine.Lists.
func (l *lists) Fetch() {}
