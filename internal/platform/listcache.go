package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"

	"whinrun/internal/disk"
	"whinrun/internal/logstore"
	"whinrun/internal/recordfile"
)

// listCache keeps the latest endpoint list in the state directory. What discovery sent to one process also
// binds the next process from its start, even if discovery does not answer then, and the list of the
// configuration may be older.
//
// The file is a sequence of checksummed records: first the whole list, compressed if it is large, then each
// change in the order of arrival. It is rewritten when the changes grow past a fraction of the whole list. If
// the first record is damaged, the file holds no list. Changes count up to the first damaged record.
type listCache struct {
	fs disk.FS
	// maxBytes is the largest size of the file, in bytes.
	maxBytes int
	log      func(format string, a ...any)

	mu   sync.Mutex
	file *recordfile.File
	// baseBytes is the size of the record with the whole list, in bytes.
	baseBytes int
	// currentList returns the current list.
	currentList func() EndpointList
	// stale tells that the file lacks changes.
	stale bool
	// failureLogged tells that the current failure has been logged.
	failureLogged bool
	// failed receives a value when saving begins to fail with a transient error.
	failed chan struct{}
}

// listFileName is the name of the file in the state directory.
const listFileName = "list"

// listDiskFraction is the fraction of the state directory's limit that one list file may use. A rewrite needs
// room for the old file and the new one, and both fit into the tenth that the ledger leaves free.
const listDiskFraction = 0.045

// Bounds on the changes that are appended before the file is rewritten.
const (
	// maxDeltaFraction bounds the size of the changes, as a fraction of the size of the whole list.
	maxDeltaFraction = 0.5
	// minDeltaBytes is the size of changes, in bytes, up to which the fraction does not cause a rewrite.
	minDeltaBytes = 8 << 10
)

// newListCache returns the cache in directory fs. currentList returns the current list; a rewrite saves it.
func newListCache(fs disk.FS, maxBytes int, currentList func() EndpointList, log func(string, ...any)) *listCache {
	return &listCache{fs: fs, maxBytes: maxBytes, currentList: currentList, log: log, file: recordfile.New(fs, listFileName), failed: make(chan struct{}, 1)}
}

// load returns the saved list, or false if there is none.
func (c *listCache) load() (l EndpointList, ok bool) {
	b, err := recordfile.Read(c.fs, listFileName, int64(c.maxBytes))
	if err != nil {
		return EndpointList{}, false
	}
	text, at, err := logstore.NextRecord(b, 0, 0)
	if err != nil {
		return EndpointList{}, false
	}
	if l, err = decodeList(text); err != nil {
		return EndpointList{}, false
	}
	merged := newMergedList(l)
	for at < len(b) {
		text, next, err := logstore.NextRecord(b, at, 0)
		if err != nil {
			break
		}
		var change EndpointList
		if json.Unmarshal(text, &change) != nil {
			break
		}
		merged.add(change)
		at = next
	}
	return merged.list(), true
}

// update saves what discovery sent: changes are appended to the file, a whole list replaces it. After a
// transient error, repair has to be called.
func (c *listCache) update(l EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.save(l); err != nil {
		c.stale = true
		c.logFailure(err)
		if disk.IsTransient(err) {
			select {
			case c.failed <- struct{}{}:
			default:
			}
		}
	}
}

// save appends a change to the file, or rewrites the file if l is a whole list, the file cannot be appended
// to, or the changes would grow too large.
func (c *listCache) save(l EndpointList) error {
	if l.Whole || c.stale || c.file.NeedsReplace() {
		return c.rewrite()
	}
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	b := logstore.AppendRecord(nil, 0, text)
	changes := int(c.file.Size()) - c.baseBytes + len(b)
	if changes > max(minDeltaBytes, int(maxDeltaFraction*float64(c.baseBytes))) || c.baseBytes+changes > c.maxBytes {
		return c.rewrite()
	}
	return c.file.Append(b)
}

// rewrite replaces the file by one with the whole current list.
func (c *listCache) rewrite() error {
	text, err := encodeList(c.currentList())
	if err != nil {
		return err
	}
	b := logstore.AppendRecord(nil, 0, text)
	if len(b) > c.maxBytes {
		return fmt.Errorf("list of %d bytes exceeds the limit of %d", len(b), c.maxBytes)
	}
	if err := c.file.Replace(b); err != nil {
		return err
	}
	c.baseBytes, c.stale, c.failureLogged = len(b), false, false
	return nil
}

// repair saves what could not be saved before. It returns an error if it has to be called again.
func (c *listCache) repair() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stale {
		return nil
	}
	err := c.rewrite()
	if err != nil {
		c.logFailure(err)
	}
	if disk.IsTransient(err) {
		return err
	}
	return nil
}

// logFailure logs that the list is not saved, once until saving succeeds again.
func (c *listCache) logFailure(err error) {
	if !c.failureLogged {
		c.log("the list is not kept for the next process: %v", err)
	}
	c.failureLogged = true
}

// close closes the file.
func (c *listCache) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.file.Close()
}

// minCompressedListBytes is the size in bytes from which a list is compressed. A smaller list is not worth
// the memory of an encoder.
const minCompressedListBytes = 32 << 10

// encodeList returns the record of a whole list: JSON, compressed with zstd from minCompressedListBytes on.
func encodeList(l EndpointList) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil || len(text) < minCompressedListBytes {
		return text, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(256<<10))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(text, nil), nil
}

// decodeList decodes a record that encodeList returned.
func decodeList(b []byte) (l EndpointList, err error) {
	if len(b) > 0 && b[0] != '{' {
		r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxListBytes))
		if err != nil {
			return EndpointList{}, err
		}
		defer r.Close()
		if b, err = r.DecodeAll(b, nil); err != nil {
			return EndpointList{}, err
		}
	}
	err = json.Unmarshal(b, &l)
	if err == nil && !l.Whole {
		err = errors.New("not a whole list")
	}
	return l, err
}

// mergedList is a list to which changes are applied.
type mergedList struct {
	seq, answerMillis int64
	hosts             map[string]Host
}

// newMergedList returns a mergedList that starts with l.
func newMergedList(l EndpointList) *mergedList {
	m := &mergedList{hosts: map[string]Host{}}
	m.add(l)
	return m
}

// add applies changes.
func (m *mergedList) add(l EndpointList) {
	m.seq, m.answerMillis = l.Seq, l.AnswerMillis
	for _, h := range l.Hosts {
		if h.Health == "gone" {
			delete(m.hosts, h.Name)
		} else {
			m.hosts[h.Name] = h
		}
	}
}

// list returns the whole list, ordered by name.
func (m *mergedList) list() EndpointList {
	l := EndpointList{Seq: m.seq, Whole: true, Hosts: make([]Host, 0, len(m.hosts)), AnswerMillis: m.answerMillis}
	for _, h := range m.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l
}
