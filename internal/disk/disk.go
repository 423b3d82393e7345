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

// lockName is a file that processes of earlier versions lock.
const lockName = "lock"

// Lock is FS. The lock ends with the process. The folder itself is locked, which needs no write, and so is the file that earlier
// versions lock, if it is there.
func (f *Folder) Lock() (io.Closer, error) {
	folder, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	if err := f.flock(folder); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	old, err := os.OpenFile(filepath.Join(f.path, lockName), os.O_RDWR, 0o600)
	if err != nil { // most often it is not there
		return folder, nil
	}
	if err := f.flock(old); err != nil {
		return nil, errors.Join(err, old.Close(), folder.Close())
	}
	return locks{folder, old}, nil
}

// flock locks an open file without waiting.
func (f *Folder) flock(o *os.File) error {
	for {
		switch err := unix.Flock(int(o.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return nil
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EWOULDBLOCK):
			return fmt.Errorf("%s: %w", f.path, ErrLocked)
		default:
			return fmt.Errorf("lock %s: %w", f.path, err)
		}
	}
}

// locks are files that are locked together.
type locks []*os.File

// Close ends the locks.
func (l locks) Close() error {
	var err error
	for _, f := range l {
		err = errors.Join(err, f.Close())
	}
	return err
}

// IsTransient tells whether an error may pass by itself: a full disk, a fault of a device, a shortage. Others, such as a folder
// that is read-only or not this user's, want an operator.
func IsTransient(err error) bool {
	for _, e := range []error{unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.EAGAIN, unix.EINTR, unix.EBUSY,
		io.ErrShortWrite, ErrLocked} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsNotExist tells that an error is about a file that is not there.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
