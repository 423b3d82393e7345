package disk

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// Memory is a folder in memory, for tests. What is not synced may be gone after Crash, in part or whole; Fail decides about each
// operation that changes something before it is done, FailRead about the others.
type Memory struct {
	mu       sync.Mutex
	now      map[string]*node // as the program sees it
	safe     map[string]*node // as the directory was last synced
	locked   bool
	Fail     func(op, name string) error // nil: none
	FailRead func(op, name string) error // nil: none
	OpCount  int
}

type node struct {
	data   []byte
	synced int
}

// NewMemory makes an empty folder.
func NewMemory() *Memory { return &Memory{now: map[string]*node{}, safe: map[string]*node{}} }

// SetFail sets Fail while the folder is in use.
func (m *Memory) SetFail(fail func(op, name string) error) {
	m.mu.Lock()
	m.Fail = fail
	m.mu.Unlock()
}

// SetFailRead sets FailRead while the folder is in use.
func (m *Memory) SetFailRead(fail func(op, name string) error) {
	m.mu.Lock()
	m.FailRead = fail
	m.mu.Unlock()
}

func (m *Memory) checkRead(op, name string) error {
	if m.FailRead == nil {
		return nil
	}
	return m.FailRead(op, name)
}

func (m *Memory) check(op, name string) error {
	m.OpCount++
	if m.Fail == nil {
		return nil
	}
	return m.Fail(op, name)
}

// Crash forgets what a crash may forget: unsynced ends of files are cut anywhere, sometimes with garbage in them;
// files made, renamed or removed since the last SyncDir may be as before.
func (m *Memory) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rng.IntN(2) == 0 {
		m.now = map[string]*node{}
		for name, n := range m.safe {
			m.now[name] = n
		}
	}
	for _, n := range m.now {
		if tail := len(n.data) - n.synced; tail > 0 {
			keep := n.synced + rng.IntN(tail+1)
			n.data = n.data[:keep:keep]
			if keep > n.synced && rng.IntN(4) == 0 {
				n.data[n.synced+rng.IntN(keep-n.synced)] ^= 1 << rng.IntN(8)
			}
		}
		n.synced = len(n.data)
	}
	m.safe = map[string]*node{}
	for name, n := range m.now {
		m.safe[name] = n
	}
	m.locked, m.Fail = false, nil
}

// Bytes returns a file's content, to be changed by a test.
func (m *Memory) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.now[name]; n != nil {
		return n.data
	}
	return nil
}

// List is FS.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("list", ""); err != nil {
		return nil, err
	}
	var names []string
	for name := range m.now {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Open is FS.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("open", name); err != nil {
		return nil, err
	}
	n := m.now[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memFile{m, n, name}, nil
}

// Create is FS.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create", name); err != nil {
		return nil, err
	}
	n := &node{}
	m.now[name] = n
	return &memFile{m, n, name}, nil
}

// Rename is FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("rename", from); err != nil {
		return err
	}
	n := m.now[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.now, from)
	m.now[to] = n
	return nil
}

// Remove is FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("remove", name); err != nil {
		return err
	}
	if m.now[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.now, name)
	return nil
}

// SyncDir is FS.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("syncdir", ""); err != nil {
		return err
	}
	m.safe = map[string]*node{}
	for name, n := range m.now {
		m.safe[name] = n
	}
	return nil
}

// Lock is FS.
func (m *Memory) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkRead("lock", ""); err != nil {
		return nil, err
	}
	if m.locked {
		return nil, fmt.Errorf("memory: %w", ErrLocked)
	}
	m.locked = true
	return unlock{m}, nil
}

type unlock struct{ m *Memory }

func (u unlock) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	u.m.locked = false
	return nil
}

type memFile struct {
	m    *Memory
	n    *node
	name string
}

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.checkRead("read", f.name); err != nil {
		return 0, err
	}
	return bytes.NewReader(f.n.data).ReadAt(p, off)
}

// Write may write a part before it fails, as a full disk does.
func (f *memFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.check("write", f.name); err != nil {
		half := len(p) / 2
		f.n.data = append(f.n.data, p[:half]...)
		return half, err
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

func (f *memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.checkRead("size", f.name); err != nil {
		return 0, err
	}
	return int64(len(f.n.data)), nil
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.check("truncate", f.name); err != nil {
		return err
	}
	f.n.data = f.n.data[:size:size]
	f.n.synced = min(f.n.synced, len(f.n.data))
	return nil
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.check("sync", f.name); err != nil {
		return err
	}
	f.n.synced = len(f.n.data)
	return nil
}

func (f *memFile) Close() error { return nil }
