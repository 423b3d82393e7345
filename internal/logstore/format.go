package logstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The form of the files is in docs/logformat.md; another program can read them by it.
const (
	segmentMagic      = "WHRNLOG1"
	indexMagic        = "WHRNIDX1"
	segmentHeaderSize = 32
	recordHeaderSize  = 8
	maxRecordSize     = 1 << 20

	suffixSegment, suffixCompressed, suffixIndex, suffixTorn = ".seg", ".seg.zst", ".idx", ".torn"
)

// ErrCorrupt is the cause of all errors about bytes that are not as they were written.
var ErrCorrupt = errors.New("not as it was written")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func fileName(firstSeq uint64, suffix string) string {
	return fmt.Sprintf("log-%016x%s", firstSeq, suffix)
}

// parseName splits a file's name; ok is false for files that are not of the store.
func parseName(name string) (firstSeq uint64, suffix string, ok bool) {
	rest, ok := strings.CutPrefix(name, "log-")
	if !ok || len(rest) < 16 {
		return 0, "", false
	}
	firstSeq, err := strconv.ParseUint(rest[:16], 16, 64)
	suffix = rest[16:]
	return firstSeq, suffix, err == nil && slices.Contains([]string{suffixSegment, suffixCompressed, suffixIndex, suffixTorn}, suffix)
}

func appendSegmentHeader(b []byte, firstSeq uint64, createdAt time.Time) []byte {
	at := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, firstSeq)
	b = binary.LittleEndian.AppendUint64(b, uint64(createdAt.UnixMicro()))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return binary.LittleEndian.AppendUint32(b, 0)
}

func parseSegmentHeader(b []byte) (firstSeq uint64, createdAt time.Time, err error) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic || binary.LittleEndian.Uint32(b[24:]) != crc32.Checksum(b[:24], castagnoli) {
		return 0, createdAt, fmt.Errorf("segment head: %w", ErrCorrupt)
	}
	return binary.LittleEndian.Uint64(b[8:]), time.UnixMicro(int64(binary.LittleEndian.Uint64(b[16:]))), nil
}

func checksum(seq uint64, payload []byte) uint32 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], seq)
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

// AppendRecord appends a record as it stands in a file: length, checksum over seq and payload, payload. seq is its number
// where the file has them, else 0.
func AppendRecord(b []byte, seq uint64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, checksum(seq, payload))
	return append(b, payload...)
}

// NextRecord reads the record at a place of b and tells where the next one begins. An error is ErrCorrupt: it is cut, or
// not as it was written.
func NextRecord(b []byte, at int, seq uint64) (payload []byte, next int, err error) {
	if at+recordHeaderSize > len(b) {
		return nil, at, fmt.Errorf("record %d: cut in its head: %w", seq, ErrCorrupt)
	}
	n := int(binary.LittleEndian.Uint32(b[at:]))
	if n > maxRecordSize || at+recordHeaderSize+n > len(b) {
		return nil, at, fmt.Errorf("record %d: cut, or its length is wrong: %w", seq, ErrCorrupt)
	}
	payload = b[at+recordHeaderSize : at+recordHeaderSize+n]
	if binary.LittleEndian.Uint32(b[at+4:]) != checksum(seq, payload) {
		return nil, at, fmt.Errorf("record %d: checksum: %w", seq, ErrCorrupt)
	}
	return payload, at + recordHeaderSize + n, nil
}

// posting is one label of one record: which of the segment's records carries it.
type posting struct {
	label       uint64
	recordIndex uint32
}

// appendIndex makes an index file: the number of records, when the segment was closed, and all marks in order.
func appendIndex(b []byte, records uint32, closedAt time.Time, postings []posting) []byte {
	postings = slices.Clone(postings)
	slices.SortFunc(postings, func(x, y posting) int {
		if x.label != y.label {
			if x.label < y.label {
				return -1
			}
			return 1
		}
		return int(x.recordIndex) - int(y.recordIndex)
	})
	at := len(b)
	b = append(b, indexMagic...)
	b = binary.LittleEndian.AppendUint32(b, records)
	b = binary.LittleEndian.AppendUint64(b, uint64(closedAt.UnixMicro()))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(postings)))
	for _, m := range postings {
		b = binary.LittleEndian.AppendUint64(b, m.label)
		b = binary.LittleEndian.AppendUint32(b, m.recordIndex)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
}

// segmentIndex is an index file as read.
type segmentIndex struct {
	records  uint32
	closedAt time.Time
	postings []byte
}

const postingSize, indexHeaderSize = 12, 24

func parseIndex(b []byte) (x segmentIndex, err error) {
	if len(b) < indexHeaderSize+4 || string(b[:8]) != indexMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) ||
		int64(len(b)) != indexHeaderSize+4+postingSize*int64(binary.LittleEndian.Uint32(b[20:])) {
		return x, fmt.Errorf("index: %w", ErrCorrupt)
	}
	return segmentIndex{binary.LittleEndian.Uint32(b[8:]), time.UnixMicro(int64(binary.LittleEndian.Uint64(b[12:]))), b[indexHeaderSize : len(b)-4]}, nil
}

// find returns the records that carry a label.
func (x segmentIndex) find(label uint64) (recordIndexes []uint32) {
	n := len(x.postings) / postingSize
	lo, hi := 0, n
	for lo < hi {
		if mid := (lo + hi) / 2; binary.LittleEndian.Uint64(x.postings[mid*postingSize:]) < label {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	for ; lo < n && binary.LittleEndian.Uint64(x.postings[lo*postingSize:]) == label; lo++ {
		recordIndexes = append(recordIndexes, binary.LittleEndian.Uint32(x.postings[lo*postingSize+8:]))
	}
	return recordIndexes
}
