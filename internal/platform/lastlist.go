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

// lastList keeps the endpoint list as it was last had in the folder that outlasts the process: what discovery had told counts
// as told from the next process's first moment, also where discovery says nothing then, and the list of the configuration
// may be older.
//
// The file is checksummed records: the whole list, compressed, and the changes since, each as it came. It is written anew when
// the changes have grown past a part of the whole. A first record that is damaged is no list; changes count up to the first
// that is damaged.
type lastList struct {
	fs   disk.FS
	most int // bytes that the file may take
	log  func(format string, a ...any)

	mu     sync.Mutex
	file   *recordfile.File
	base   int                 // bytes of the whole list in it
	whole  func() EndpointList // the list as it is now
	behind bool                // the file lacks changes
	tell   bool                // that the list is not kept has been told
	broken chan struct{}       // holds a token once saving has begun to fail
}

const listName = "list"

// listPart is the part of the folder that a list may take. The one being written stands beside the other, and both fit into the
// tenth that the ledger leaves.
const listPart = 0.045

// changesPart is how much changes may grow beside the whole list, and changesLeast bytes are never too many.
const (
	changesPart  = 0.5
	changesLeast = 8 << 10
)

func newLastList(fs disk.FS, most int, whole func() EndpointList, log func(string, ...any)) *lastList {
	return &lastList{fs: fs, most: most, whole: whole, log: log, file: recordfile.New(fs, listName), broken: make(chan struct{}, 1)}
}

// load returns the list that was kept; ok is false where there is none.
func (k *lastList) load() (l EndpointList, ok bool) {
	b, err := recordfile.Read(k.fs, listName, int64(k.most))
	if err != nil {
		return EndpointList{}, false
	}
	text, at, err := logstore.NextRecord(b, 0, 0)
	if err != nil {
		return EndpointList{}, false
	}
	if l, err = unpackList(text); err != nil {
		return EndpointList{}, false
	}
	merged := newMerge(l)
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

// changed keeps what discovery told: changes behind the list that there is, a whole list in its place. Where that fails for now,
// repair tries again.
func (k *lastList) changed(l EndpointList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.save(l); err != nil {
		k.behind = true
		k.say(err)
		if disk.IsTransient(err) {
			select {
			case k.broken <- struct{}{}:
			default:
			}
		}
	}
}

func (k *lastList) save(l EndpointList) error {
	if l.Whole || k.behind || k.file.NeedsReplace() {
		return k.rewrite()
	}
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	b := logstore.AppendRecord(nil, 0, text)
	changes := int(k.file.Size()) - k.base + len(b)
	if changes > max(changesLeast, int(changesPart*float64(k.base))) || k.base+changes > k.most {
		return k.rewrite()
	}
	return k.file.Append(b)
}

// rewrite puts the whole list in the place of the file.
func (k *lastList) rewrite() error {
	text, err := packList(k.whole())
	if err != nil {
		return err
	}
	b := logstore.AppendRecord(nil, 0, text)
	if len(b) > k.most {
		return fmt.Errorf("%d bytes, %d at most", len(b), k.most)
	}
	if err := k.file.Replace(b); err != nil {
		return err
	}
	k.base, k.behind, k.tell = len(b), false, false
	return nil
}

// repair saves what could not be saved. An error tells that it is to be called again.
func (k *lastList) repair() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.behind {
		return nil
	}
	err := k.rewrite()
	if err != nil {
		k.say(err)
	}
	if disk.IsTransient(err) {
		return err
	}
	return nil
}

// say tells once that the list is not kept.
func (k *lastList) say(err error) {
	if !k.tell {
		k.log("the list is not kept for the next process: %v", err)
	}
	k.tell = true
}

// close ends the use of the file.
func (k *lastList) close() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.file.Close()
}

// packFrom is how many bytes a list has from which on it is compressed: it is not worth an encoder's memory below.
const packFrom = 32 << 10

// packList is a list as it is kept.
func packList(l EndpointList) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil || len(text) < packFrom {
		return text, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(256<<10))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(text, nil), nil
}

// unpackList reads what packList made.
func unpackList(b []byte) (l EndpointList, err error) {
	if len(b) > 0 && b[0] != '{' {
		r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxList))
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

// merge is a list to which changes are added.
type merge struct {
	seq   int64
	hosts map[string]Host
}

func newMerge(l EndpointList) *merge {
	m := &merge{hosts: map[string]Host{}}
	m.add(l)
	return m
}

func (m *merge) add(l EndpointList) {
	m.seq = l.Seq
	for _, h := range l.Hosts {
		if h.Health == "gone" {
			delete(m.hosts, h.Name)
		} else {
			m.hosts[h.Name] = h
		}
	}
}

func (m *merge) list() EndpointList {
	l := EndpointList{Seq: m.seq, Whole: true, Hosts: make([]Host, 0, len(m.hosts))}
	for _, h := range m.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l
}
