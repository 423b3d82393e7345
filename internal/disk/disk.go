// Package disk abstracts the file system for the packages that store data. Folder implements the abstraction with a folder of the
// machine. Memory implements it in memory for tests; it can inject faults and simulate a crash that loses unsynced data.
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

// ErrLocked is returned by FS.Lock if another process holds the lock of the folder.
var ErrLocked = errors.New("the folder is in use by another process")

// FS is a single folder. File names contain no slashes.
type FS interface {
	// List returns the names of the files in the folder, sorted.
	List() ([]string, error)
	// Open opens an existing file for reading and appending. If there is none, the error satisfies IsNotExist.
	Open(name string) (File, error)
	// Create creates an empty file. An existing file of that name is emptied or replaced.
	Create(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name. The change is durable after SyncDir.
	Rename(from, to string) error
	// Remove removes a file. The change is durable after SyncDir.
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
	// Lock locks the folder for this process until the returned value is closed. It returns ErrLocked if the folder is locked.
	Lock() (io.Closer, error)
}

// File is an open file of a folder. It can be read at any offset. Writes append to its end.
type File interface {
	io.ReaderAt
	io.Writer
	// Size returns the size of the file in bytes.
	Size() (int64, error)
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Sync makes the content of the file durable.
	Sync() error
	// Close closes the file.
	Close() error
}

// Folder is an FS that is a folder of the machine's file system.
type Folder struct{ path string }

// OpenFolder returns the folder at path. It creates the folder, with its parents, if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Folder{path}, nil
}

// osFile is a File of the machine's file system.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// List implements FS. It returns regular files only.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Open implements FS.
func (f *Folder) Open(name string) (File, error) { return f.open(name, os.O_RDWR|os.O_APPEND) }

// Create implements FS.
func (f *Folder) Create(name string) (File, error) {
	return f.open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// open opens a file with the given flags of os.OpenFile.
func (f *Folder) open(name string, flag int) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements FS.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncDir implements FS.
func (f *Folder) SyncDir() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// legacyLockName is the name of the file that earlier versions of the program lock.
const legacyLockName = "lock"

// Lock implements FS. It locks the folder itself, which needs no write. It also locks the file that earlier versions of the program
// lock, if that exists. The locks end with the process at the latest.
func (f *Folder) Lock() (io.Closer, error) {
	folder, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	if err := f.flock(folder); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	legacy, err := os.OpenFile(filepath.Join(f.path, legacyLockName), os.O_RDWR, 0o600)
	if err != nil { // Usually it does not exist.
		return folder, nil
	}
	if err := f.flock(legacy); err != nil {
		return nil, errors.Join(err, legacy.Close(), folder.Close())
	}
	return lockedFiles{folder, legacy}, nil
}

// flock locks an open file. It returns ErrLocked instead of waiting.
func (f *Folder) flock(file *os.File) error {
	for {
		switch err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
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

// lockedFiles are the locked files that make up one lock.
type lockedFiles []*os.File

// Close releases the locks.
func (l lockedFiles) Close() error {
	var err error
	for _, f := range l {
		err = errors.Join(err, f.Close())
	}
	return err
}

// IsTransient reports whether an error may go away without action by an operator. Such errors are a full disk, an I/O error of the
// device, a lack of resources and a lock held by another process. Others need an operator, such as a folder that is read-only or
// that belongs to another user.
func IsTransient(err error) bool {
	for _, e := range []error{unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.EAGAIN, unix.EINTR, unix.EBUSY,
		io.ErrShortWrite, ErrLocked} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsNotExist reports whether an error says that a file does not exist.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
