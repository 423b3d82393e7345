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

// Memory is an FS in memory, for tests. Crash simulates a crash that loses unsynced data. Fail and FailRead inject faults: they are
// called before an operation, with its name and the name of the file, and the operation fails with the error that they return.
type Memory struct {
	mu      sync.Mutex
	current map[string]*memNode // files as the program sees them, by name
	durable map[string]*memNode // files as of the last SyncDir, by name
	locked  bool
	// Fail is called for list, open, create, rename, remove, syncdir, write, truncate and sync. If it is nil, none of them fails.
	Fail func(op, name string) error
	// FailRead is called for lock, read and size. If it is nil, none of them fails.
	FailRead func(op, name string) error
	// OpCount counts the operations that Fail is called for.
	OpCount int
}

// memNode is the content of a file.
type memNode struct {
	data   []byte
	synced int // number of bytes that a crash cannot lose
}

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{current: map[string]*memNode{}, durable: map[string]*memNode{}}
}

// SetFail sets Fail. It may be called while the folder is in use.
func (m *Memory) SetFail(fail func(op, name string) error) {
	m.mu.Lock()
	m.Fail = fail
	m.mu.Unlock()
}

// SetFailRead sets FailRead. It may be called while the folder is in use.
func (m *Memory) SetFailRead(fail func(op, name string) error) {
	m.mu.Lock()
	m.FailRead = fail
	m.mu.Unlock()
}

// checkRead returns the error that FailRead injects into an operation.
func (m *Memory) checkRead(op, name string) error {
	if m.FailRead == nil {
		return nil
	}
	return m.FailRead(op, name)
}

// check counts an operation and returns the error that Fail injects into it.
func (m *Memory) check(op, name string) error {
	m.OpCount++
	if m.Fail == nil {
		return nil
	}
	return m.Fail(op, name)
}

// Crash loses what a crash of the machine may lose, at random. The unsynced end of a file is cut at any byte, and sometimes one bit
// of it is flipped. Files that were created, renamed or removed since the last SyncDir may be as they were then. Crash also releases
// the lock and clears Fail.
func (m *Memory) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rng.IntN(2) == 0 {
		m.current = map[string]*memNode{}
		for name, n := range m.durable {
			m.current[name] = n
		}
	}
	for _, n := range m.current {
		if tail := len(n.data) - n.synced; tail > 0 {
			keep := n.synced + rng.IntN(tail+1)
			n.data = n.data[:keep:keep]
			if keep > n.synced && rng.IntN(4) == 0 {
				n.data[n.synced+rng.IntN(keep-n.synced)] ^= 1 << rng.IntN(8)
			}
		}
		n.synced = len(n.data)
	}
	m.durable = map[string]*memNode{}
	for name, n := range m.current {
		m.durable[name] = n
	}
	m.locked, m.Fail = false, nil
}

// Bytes returns the content of a file, which a test may change in place. It returns nil if there is no such file.
func (m *Memory) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.current[name]; n != nil {
		return n.data
	}
	return nil
}

// List implements FS.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("list", ""); err != nil {
		return nil, err
	}
	var names []string
	for name := range m.current {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Open implements FS.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("open", name); err != nil {
		return nil, err
	}
	n := m.current[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memFile{m, n, name}, nil
}

// Create implements FS.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create", name); err != nil {
		return nil, err
	}
	n := &memNode{}
	m.current[name] = n
	return &memFile{m, n, name}, nil
}

// Rename implements FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("rename", from); err != nil {
		return err
	}
	n := m.current[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.current, from)
	m.current[to] = n
	return nil
}

// Remove implements FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("remove", name); err != nil {
		return err
	}
	if m.current[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.current, name)
	return nil
}

// SyncDir implements FS.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("syncdir", ""); err != nil {
		return err
	}
	m.durable = map[string]*memNode{}
	for name, n := range m.current {
		m.durable[name] = n
	}
	return nil
}

// Lock implements FS.
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
	return memLock{m}, nil
}

// memLock is the lock of a Memory.
type memLock struct{ dir *Memory }

// Close releases the lock.
func (u memLock) Close() error {
	u.dir.mu.Lock()
	defer u.dir.mu.Unlock()
	u.dir.locked = false
	return nil
}

// memFile is an open file of a Memory.
type memFile struct {
	dir  *Memory
	node *memNode
	name string
}

// ReadAt implements File.
func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.checkRead("read", f.name); err != nil {
		return 0, err
	}
	return bytes.NewReader(f.node.data).ReadAt(p, off)
}

// Write implements File. If a fault is injected, it writes half of the data before it fails, as may happen on a full disk.
func (f *memFile) Write(p []byte) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.check("write", f.name); err != nil {
		half := len(p) / 2
		f.node.data = append(f.node.data, p[:half]...)
		return half, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

// Size implements File.
func (f *memFile) Size() (int64, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.checkRead("size", f.name); err != nil {
		return 0, err
	}
	return int64(len(f.node.data)), nil
}

// Truncate implements File.
func (f *memFile) Truncate(size int64) error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.check("truncate", f.name); err != nil {
		return err
	}
	f.node.data = f.node.data[:size:size]
	f.node.synced = min(f.node.synced, len(f.node.data))
	return nil
}

// Sync implements File.
func (f *memFile) Sync() error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if err := f.dir.check("sync", f.name); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	return nil
}

// Close implements File.
func (f *memFile) Close() error { return nil }
