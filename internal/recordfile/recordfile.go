// Package recordfile implements a file that records are appended to and that is replaced as a whole from time to time. After a
// failed operation the caller knows whether the content of the file is as before or is uncertain.
package recordfile

import (
	"errors"
	"fmt"
	"io"

	"whinrun/internal/disk"
)

// Errors of a File.
var (
	// ErrUncertain says that the records of a failed Append may or may not be in the file.
	ErrUncertain = errors.New("it is not known whether it is in the file")
	// ErrNeedsReplace says that nothing can be appended until Replace has succeeded.
	ErrNeedsReplace = errors.New("the file is to be written anew")
)

// File is a file of records in a folder. It is not safe for concurrent use.
type File struct {
	fs           disk.FS
	name         string
	file         disk.File // nil before the first Replace
	size         int64     // size of the complete records, in bytes
	needsReplace bool      // the file may end with a torn record, or may no longer be the one in the folder
}

// New returns a File for the named file in a folder, without opening it. Replace has to be called before Append. Replace uses the
// name with ".new" appended for its temporary file.
func New(fs disk.FS, name string) *File { return &File{fs: fs, name: name} }

// Size returns the size of the complete records in the file, in bytes.
func (f *File) Size() int64 { return f.size }

// NeedsReplace reports whether Append is impossible until Replace succeeds.
func (f *File) NeedsReplace() bool { return f.file == nil || f.needsReplace }

// RequireReplace makes Append fail until Replace succeeds.
func (f *File) RequireReplace() { f.needsReplace = true }

// Append appends encoded records to the file. After an error none of them is in the file, unless the error is ErrUncertain. In that
// case they may be in the file, and it has to be replaced. Append returns ErrNeedsReplace if that is already so.
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
	// Records behind a torn one would not be read, so the torn one has to be removed.
	if truncateErr := f.file.Truncate(f.size); truncateErr != nil {
		f.needsReplace = true
		return fmt.Errorf("%w: %w, %w", ErrUncertain, err, truncateErr)
	}
	return err
}

// Replace replaces the file by one with the given content. After an error the old file remains in use. If the rename failed, it may
// no longer be the one in the folder, and the file needs to be replaced again.
func (f *File) Replace(content []byte) error {
	replacement, err := f.fs.Create(f.name + ".new")
	if err != nil {
		return err
	}
	n, err := replacement.Write(content)
	if err == nil && n < len(content) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return errors.Join(err, replacement.Close(), f.fs.Remove(f.name+".new"))
	}
	if err := f.fs.Rename(f.name+".new", f.name); err != nil {
		f.needsReplace = true // The rename may have taken effect despite the error.
		return errors.Join(err, replacement.Close())
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file, f.size, f.needsReplace = replacement, int64(len(content)), false
	return nil
}

// Close closes the file.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}

// Read returns the content of a file in a folder. It fails if the file is larger than maxBytes.
func Read(fs disk.FS, name string, maxBytes int64) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	b, err := readAll(f, maxBytes)
	return b, errors.Join(err, f.Close())
}

// readAll returns the content of an open file that has at most maxBytes bytes.
func readAll(f disk.File, maxBytes int64) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > maxBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", size, maxBytes)
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && int64(n) == size) {
		return nil, err
	}
	return b, nil
}
