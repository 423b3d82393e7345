// Package platform runs a dispatcher on the platform. It serves HTTP/1.1 to clients, calls endpoints over
// HTTP/1.1, follows the endpoint list of discovery, sends notices and keeps a ledger in the state directory.
//
// The package makes no decisions about messages. It passes what it observes to the decision library (package
// control) through the engine and carries out the library's decisions.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"whinrun/control"
	"whinrun/internal/wire"
)

// Config is the configuration of a dispatcher.
type Config struct {
	// Name is the dispatcher's name, used in logs.
	Name string
	// Listen is the address that clients connect to.
	Listen netip.AddrPort
	// Discovery is the address of the platform's agent, which serves discovery and takes notices.
	Discovery netip.AddrPort
	// StateDir is the directory for state that outlives the process.
	StateDir string
	// Seed seeds the random choices of the decision library.
	Seed uint64
	// Limits are the resources available to the dispatcher.
	Limits Limits
	// Known is the endpoint list that the configuration carries. It may be out of date.
	Known EndpointList
	// Settings are the settings of the decision library.
	Settings control.Settings
	// Zones are the names of the zones, in the order of their numbers.
	Zones []string
	// Trace enables debug logging of what happens to each message and connection.
	Trace bool
	// LoadMetrics are the names of the values in a load report, in order.
	LoadMetrics []string
}

// Limits are the resources that the platform grants a dispatcher.
type Limits struct {
	// Cores is the number of CPU cores, 1 if it is not given.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory in MiB, at least 16.
	MemoryMB float64 `json:"memory_mb"`
	// Sockets is the number of file descriptors, at least 64.
	Sockets int `json:"sockets"`
	// DiskMB is the size that the state directory may grow to in MiB, at least 0.25.
	DiskMB float64 `json:"disk_mb"`
}

// EndpointList is an endpoint list as discovery sends it: either the whole list or the changes since an
// earlier version.
type EndpointList struct {
	// Seq is the version of the list that this list or these changes lead to.
	Seq int64 `json:"seq"`
	// Whole tells that Hosts is the whole list. Endpoints that it does not name have left the list.
	Whole bool `json:"whole"`
	// Hosts are the listed endpoints, or those that changed.
	Hosts []Host `json:"hosts"`
	// AnswerMillis is how long discovery took to answer the watch on which the list came, in milliseconds. The watcher sets it.
	AnswerMillis int64 `json:"answer_ms,omitempty"`
}

// Host is one endpoint of an EndpointList.
type Host struct {
	// Name identifies the endpoint.
	Name string `json:"host"`
	// Dial is the endpoint's address as IP:port.
	Dial string `json:"dial"`
	// Site is the name of the endpoint's zone.
	Site string `json:"site"`
	// Class is the name of the endpoint's kind in the settings.
	Class string `json:"class"`
	// Block is the number of the destination that the endpoint serves.
	Block int `json:"block"`
	// Health is "ready", "draining" or "gone".
	Health string `json:"health"`
	// Share is the endpoint's load-balancing weight.
	Share float64 `json:"share"`
}

// configFile is the configuration in the form of its JSON file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	State     string          `json:"state"`
	Limits    Limits          `json:"limits"`
	Known     EndpointList    `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// extraSettings are the settings that the decision library does not use.
type extraSettings struct {
	Zones  []string `json:"dcs"`
	Report struct {
		Names []string `json:"names"`
	} `json:"report"`
}

// maxConfigBytes is the largest accepted size of the configuration file, in bytes.
const maxConfigBytes = 8 << 20

// Load reads the configuration file that the environment variable EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN
// and EDGE_DISCOVERY supply values that the file omits. EDGE_STATE takes precedence over the file's state
// directory. Errors name the file and the key.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if st.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxConfigBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parseConfig(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// parseConfig parses the text of a configuration file. env returns the value of an environment variable.
func parseConfig(text []byte, env func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%s: unexpected JSON %s", bad.Field, bad.Value)
		}
		return nil, err
	}
	c := &Config{Name: cmp.Or(f.Name, env("EDGE_NAME")), StateDir: cmp.Or(env("EDGE_STATE"), f.State), Limits: f.Limits, Known: f.Known}
	if c.StateDir == "" {
		return nil, errors.New("EDGE_STATE: not set")
	}
	var err error
	if c.Listen, err = netip.ParseAddrPort(cmp.Or(f.Listen, env("EDGE_LISTEN"))); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(cmp.Or(f.Discovery, env("EDGE_DISCOVERY"))); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not 64 bits in hexadecimal", f.Seed)
	}
	if err := c.Limits.validate(); err != nil {
		return nil, err
	}
	return c, c.parseSettings(f.Settings)
}

// validate sets missing limits to their defaults and rejects those that are too small for a dispatcher.
func (l *Limits) validate() error {
	if l.Cores <= 0 {
		l.Cores = 1
	}
	for _, x := range []struct {
		name  string
		v, at float64
	}{{"memory_mb", l.MemoryMB, 16}, {"sockets", float64(l.Sockets), 64}, {"disk_mb", l.DiskMB, 0.25}} {
		if !(x.v >= x.at) {
			return fmt.Errorf("limits.%s: %g is below the minimum of %g", x.name, x.v, x.at)
		}
	}
	return nil
}

// parseSettings parses the settings object of the configuration file into c.
func (c *Config) parseSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings: missing")
	}
	flat, err := wire.Flatten(text)
	if err != nil {
		return err
	}
	if c.Settings, err = wire.ParseSettings(flat); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var n extraSettings
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Zones, c.LoadMetrics = n.Zones, n.Report.Names
	return nil
}
