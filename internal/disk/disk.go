// Package disk is what the durable parts of the program need of a file system, as an interface: the machine's own in
// service, and in tests one in memory that fails on command and forgets, as a crash does, what was not synced.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("the folder is in use by another process")

// FS is one folder. Names are without slashes.
type FS interface {
	List() ([]string, error) // sorted
	Open(name string) (File, error)
	Create(name string) (File, error) // empty, an old one is replaced
	Rename(from, to string) error     // durable after SyncDir
	Remove(name string) error
	SyncDir() error
	Lock() (io.Closer, error)
}

// File is one file of the folder, open for reading at any place and for writing at its end.
type File interface {
	io.ReaderAt
	io.Writer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Folder is a folder of the machine.
type Folder struct{ path string }

// OpenFolder makes the folder where it is not there.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Folder{path}, nil
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// List is FS.
func (f *Folder) List() ([]string, error) {
	all, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range all {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Open is FS.
func (f *Folder) Open(name string) (File, error) { return f.open(name, os.O_RDWR|os.O_APPEND) }

// Create is FS.
func (f *Folder) Create(name string) (File, error) {
	return f.open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

func (f *Folder) open(name string, flag int) (File, error) {
	o, err := os.OpenFile(filepath.Join(f.path, name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{o}, nil
}

// Rename is FS.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove is FS.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncDir is FS.
func (f *Folder) SyncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock is FS. The lock ends with the process.
func (f *Folder) Lock() (io.Closer, error) {
	o, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(o.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = o.Close()
		return nil, fmt.Errorf("%s: %w", f.path, ErrLocked)
	}
	return o, nil
}

// NotExist tells that an error is about a file that is not there.
func NotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
