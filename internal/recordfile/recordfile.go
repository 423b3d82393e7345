// Package recordfile is a file of a folder that records are appended to, and that is replaced as a whole now and then. What is in
// the file after an operation has failed is known, or known not to be known.
package recordfile

import (
	"errors"
	"fmt"
	"io"

	"whinrun/internal/disk"
)

// Faults of a file.
var (
	// ErrUncertain tells that records may be in the file, or may not.
	ErrUncertain = errors.New("it is not known whether it is in the file")
	// ErrNeedsReplace tells that nothing can be appended: the file is to be replaced.
	ErrNeedsReplace = errors.New("the file is to be written anew")
)

// File is one such file. It is not safe for concurrent use.
type File struct {
	fs      disk.FS
	name    string
	file    disk.File // nil before the first Replace
	size    int64     // bytes of whole records
	damaged bool      // the file's end is not known to be whole, or it may not be the folder's any more
}

// New returns the file of a folder by a name; it has to be replaced before anything can be appended. A file by that name with
// ".new" behind it is one being written.
func New(fs disk.FS, name string) *File { return &File{fs: fs, name: name} }

// Size counts the bytes of whole records.
func (f *File) Size() int64 { return f.size }

// NeedsReplace tells whether only Replace helps.
func (f *File) NeedsReplace() bool { return f.file == nil || f.damaged }

// RequireReplace has the file replaced before anything is appended again.
func (f *File) RequireReplace() { f.damaged = true }

// Append writes records. After an error none of them is in the file, or with ErrUncertain they may be and the file is damaged.
func (f *File) Append(b []byte) error {
	if f.NeedsReplace() {
		return ErrNeedsReplace
	}
	n, err := f.file.Write(b)
	if err == nil && n == len(b) {
		f.size += int64(n)
		return nil
	}
	if err == nil {
		err = io.ErrShortWrite
	}
	if cut := f.file.Truncate(f.size); cut != nil { // records behind a torn one would not be read
		f.damaged = true
		return fmt.Errorf("%w: %w, %w", ErrUncertain, err, cut)
	}
	return err
}

// Replace puts a file with a text in the place of the one there is. After an error the old one is in use, if it still is the
// folder's.
func (f *File) Replace(text []byte) error {
	next, err := f.fs.Create(f.name + ".new")
	if err != nil {
		return err
	}
	n, err := next.Write(text)
	if err == nil && n < len(text) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return errors.Join(err, next.Close(), f.fs.Remove(f.name+".new"))
	}
	if err := f.fs.Rename(f.name+".new", f.name); err != nil {
		f.damaged = true // it may have been renamed all the same
		return errors.Join(err, next.Close())
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file, f.size, f.damaged = next, int64(len(text)), false
	return nil
}

// Close ends the use of the file.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}

// Read reads a whole file of a folder.
func Read(fs disk.FS, name string, most int64) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	b, err := readAll(f, most)
	return b, errors.Join(err, f.Close())
}

func readAll(f disk.File, most int64) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > most {
		return nil, fmt.Errorf("%d bytes, %d at most", size, most)
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && int64(n) == size) {
		return nil, err
	}
	return b, nil
}
