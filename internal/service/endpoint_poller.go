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

// staticList is the list of the settings.
type staticList []endpointlist.Endpoint

func (f staticList) Load(string) ([]endpointlist.Endpoint, string, error) { return f, "settings", nil }

// listFile is a list on disk: a line each of PARTNER ADDRESS ready|draining.
type listFile struct{ name string }

func newListSource(cfg *config.Config) ListSource {
	if cfg.ListFile == "" {
		return staticList(cfg.Endpoints)
	}
	return listFile{cfg.ListFile}
}

func (f listFile) Load(known string) ([]endpointlist.Endpoint, string, error) {
	info, err := os.Stat(f.name)
	if err != nil {
		return nil, "", err
	}
	version := fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	if version == known {
		return nil, known, nil
	}
	text, err := os.ReadFile(f.name)
	if err != nil {
		return nil, "", err
	}
	endpoints, err := ParseList(f.name, text)
	return endpoints, version, err
}

// ParseList reads a list file. One bad line makes it all void: half a list would look as if the rest were gone.
func ParseList(name string, text []byte) ([]endpointlist.Endpoint, error) {
	var endpoints []endpointlist.Endpoint
	var problems []error
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<16)
	lineNumber := 0
	for scanner.Scan() {
		lineNumber++
		words := strings.Fields(scanner.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		endpoint, err := parseEndpoint(words)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s:%d: %w", name, lineNumber, err))
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, fmt.Errorf("%s:%d: %w", name, lineNumber+1, err))
	}
	return endpoints, errors.Join(problems...)
}

func parseEndpoint(words []string) (endpoint endpointlist.Endpoint, err error) {
	if len(words) != 3 {
		return endpoint, errors.New("not PARTNER ADDRESS ready|draining")
	}
	endpoint.Partner = words[0]
	if endpoint.Addr, err = netip.ParseAddrPort(words[1]); err != nil {
		return endpoint, fmt.Errorf("%q is no address with its port", words[1])
	}
	switch words[2] {
	case "ready":
		endpoint.Health = control.Ready
	case "draining":
		endpoint.Health = control.Draining
	default:
		return endpoint, fmt.Errorf("%q is neither ready nor draining", words[2])
	}
	return endpoint, nil
}

// listPoller looks at the source and pushes what changed to the engine, on one goroutine.
type listPoller struct {
	source    ListSource
	endpoints *endpointlist.Registry
	log       *logs.Logger
	deliver   func(engine.List)
	stopping  chan struct{}
	done      sync.WaitGroup
	version   string
	failing   bool
}

// start takes the first list at once, so that it is there before the first message, and looks for news every so often.
func (l *listPoller) start(interval time.Duration) {
	l.poll(control.ListFull)
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-l.stopping:
				return
			case <-ticker.C:
				l.poll(control.ListDelta)
			}
		}
	}()
}

func (l *listPoller) poll(kind control.ListKind) {
	endpoints, version, err := l.source.Load(l.version)
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
	diff := l.endpoints.Replace(endpoints)
	for _, warning := range diff.Warnings {
		l.log.Warn("list", "%s", warning)
	}
	l.deliver(engine.List{Kind: kind, Entries: diff.Entries})
}

func (l *listPoller) stop() {
	close(l.stopping)
	l.done.Wait()
}

// Watch and Fetch are engine.Lists; the list is pushed here, so the module asks for neither.
func (l *listPoller) Watch() {}

// Fetch is engine.Lists.
func (l *listPoller) Fetch() {}
