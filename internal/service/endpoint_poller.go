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
	"syscall"
	"time"

	"whinrun/control"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/logs"
)

// ListSource provides the complete endpoint list.
type ListSource interface {
	// Load returns the complete list and its version. known is the version of the previous call. If the version has not
	// changed, the returned endpoints are ignored.
	Load(known string) (lines []endpointlist.Endpoint, version string, err error)
}

// staticList is the endpoint list of the settings.
type staticList []endpointlist.Endpoint

// Load returns the list under a version that never changes.

func (f staticList) Load(string) ([]endpointlist.Endpoint, string, error) { return f, "settings", nil }

// listFile is an endpoint list on disk. Each line has the form PARTNER ADDRESS ready|draining.
type listFile struct{ name string }

// newListSource returns the list file of the settings or, if there is none, the list in the settings.
func newListSource(cfg *config.Config) ListSource {
	if cfg.ListFile == "" {
		return staticList(cfg.Endpoints)
	}
	return listFile{cfg.ListFile}
}

// Load reads the file if it is another one than before, or has been changed. Its time of modification and its size alone do not tell: both
// may be those of the file that it replaces.
func (f listFile) Load(known string) ([]endpointlist.Endpoint, string, error) {
	info, err := os.Stat(f.name)
	if err != nil {
		return nil, "", err
	}
	version := fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	if status, ok := info.Sys().(*syscall.Stat_t); ok {
		version += fmt.Sprint(" ", status.Ino, status.Ctim.Nano())
	}
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

// ParseList parses a list file. name is the file name in errors. An invalid line makes the whole list invalid, because the
// endpoints of a partial list would look like the only ones left.
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

// parseEndpoint parses the words of one line.
func parseEndpoint(words []string) (endpoint endpointlist.Endpoint, err error) {
	if len(words) != 3 {
		return endpoint, errors.New("expected PARTNER ADDRESS ready|draining")
	}
	endpoint.Partner = words[0]
	if endpoint.Addr, err = netip.ParseAddrPort(words[1]); err != nil {
		return endpoint, fmt.Errorf("%q is not an address with a port", words[1])
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

// listPoller polls the list source and passes changes on to the engine. It runs on one goroutine.
type listPoller struct {
	source    ListSource
	endpoints *endpointlist.Registry
	log       *logs.Logger
	deliver   func(engine.ListUpdate)
	stopping  chan struct{}
	done      sync.WaitGroup
	version   string
	failing   bool
}

// start loads the first list at once, so that the engine has it before the first message. Then it polls at the given
// interval.
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

// poll loads the list and delivers the changes. If the list cannot be loaded, the previous list stays in use, and the first
// error of a row is logged.
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
	l.deliver(engine.ListUpdate{Kind: kind, Entries: diff.Entries})
}

// stop ends polling and waits for the goroutine.
func (l *listPoller) stop() {
	close(l.stopping)
	l.done.Wait()
}

// Watch implements engine.Discovery. It does nothing, because the poller delivers the list without being asked.
func (l *listPoller) Watch() {}

// Fetch implements engine.Discovery. It does nothing, for the same reason as Watch.
func (l *listPoller) Fetch() {}
