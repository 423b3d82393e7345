// Package platform puts a dispatcher in service on the platform: HTTP/1.1 towards clients and endpoints, discovery,
// notices, and a ledger in the folder that lasts. It decides nothing about messages: what it learns goes to the module
// through the engine, and what the module decides is carried out.
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

// Config is what a dispatcher is told at its start.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Discovery   netip.AddrPort
	StateDir    string // the folder that lasts
	Seed        uint64
	Limits      Limits
	Known       EndpointList // the endpoint list as it was last had
	Settings    control.Settings
	Zones       []string // names, in the order of their numbers
	Trace       bool     // log what happens to each message
	LoadMetrics []string // names of the values of a load report, in order
}

// Limits are what the platform gives a dispatcher.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
	DiskMB   float64 `json:"disk_mb"`
}

// EndpointList is the endpoint list in discovery's form, whole or what changed of it.
type EndpointList struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is one endpoint of the list.
type Host struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// file is the configuration as it stands in its file.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	State     string          `json:"state"`
	Limits    Limits          `json:"limits"`
	Known     EndpointList    `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// names are the settings that the module has no use for.
type names struct {
	Zones  []string `json:"dcs"`
	Report struct {
		Names []string `json:"names"`
	} `json:"report"`
}

// maxConfig bounds the file, in bytes.
const maxConfig = 8 << 20

// Load reads the configuration that the environment names: EDGE_CONFIG is its file; EDGE_NAME, EDGE_LISTEN,
// EDGE_DISCOVERY and EDGE_STATE stand in for what the file leaves out. An error names the file and the key.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if st.Size() > maxConfig {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%s: a %s does not belong there", bad.Field, bad.Value)
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
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	return c, c.settings(f.Settings)
}

func (l *Limits) check() error {
	if l.Cores <= 0 {
		l.Cores = 1
	}
	for _, x := range []struct {
		name  string
		v, at float64
	}{{"memory_mb", l.MemoryMB, 16}, {"sockets", float64(l.Sockets), 64}, {"disk_mb", l.DiskMB, 0.25}} {
		if !(x.v >= x.at) {
			return fmt.Errorf("limits.%s: %g is out of range, the least is %g", x.name, x.v, x.at)
		}
	}
	return nil
}

func (c *Config) settings(text json.RawMessage) error {
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
	var n names
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Zones, c.LoadMetrics = n.Zones, n.Report.Names
	return nil
}
