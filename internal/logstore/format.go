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

// The file format is documented in docs/logformat.md, so that other programs can read the files. All sizes are in bytes.
const (
	// segmentMagic is the start of every segment file.
	segmentMagic = "WHRNLOG1"
	// indexMagic is the start of every index file.
	indexMagic = "WHRNIDX1"
	// segmentHeaderSize is the size of the header of a segment file.
	segmentHeaderSize = 32
	// recordHeaderSize is the size of the length and the checksum before each payload.
	recordHeaderSize = 8
	// maxRecordSize is the maximum size of a payload.
	maxRecordSize = 1 << 20

	// These suffixes mark plain segments, compressed segments, indexes of closed segments and the torn ends that were cut off.
	suffixSegment, suffixCompressed, suffixIndex, suffixTorn = ".seg", ".seg.zst", ".idx", ".torn"
)

// ErrCorrupt is wrapped by all errors about data that differs from what was written.
var ErrCorrupt = errors.New("corrupt data")

// castagnoli is the table of CRC-32C, which all checksums use.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// fileName returns the name of a file of the segment that starts with record firstSeq.
func fileName(firstSeq uint64, suffix string) string {
	return fmt.Sprintf("log-%016x%s", firstSeq, suffix)
}

// parseName splits the name of a file. ok is false if the file does not belong to the store.
func parseName(name string) (firstSeq uint64, suffix string, ok bool) {
	rest, ok := strings.CutPrefix(name, "log-")
	if !ok || len(rest) < 16 {
		return 0, "", false
	}
	firstSeq, err := strconv.ParseUint(rest[:16], 16, 64)
	suffix = rest[16:]
	return firstSeq, suffix, err == nil && slices.Contains([]string{suffixSegment, suffixCompressed, suffixIndex, suffixTorn}, suffix)
}

// appendSegmentHeader appends the header of a segment: magic, number of the first record, time of creation, checksum and 4 bytes that
// are 0.
func appendSegmentHeader(b []byte, firstSeq uint64, createdAt time.Time) []byte {
	at := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, firstSeq)
	b = binary.LittleEndian.AppendUint64(b, uint64(createdAt.UnixMicro()))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return binary.LittleEndian.AppendUint32(b, 0)
}

// parseSegmentHeader reads the header at the start of a segment. It returns ErrCorrupt if the header is incomplete or damaged.
func parseSegmentHeader(b []byte) (firstSeq uint64, createdAt time.Time, err error) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic || binary.LittleEndian.Uint32(b[24:]) != crc32.Checksum(b[:24], castagnoli) {
		return 0, createdAt, fmt.Errorf("segment header: %w", ErrCorrupt)
	}
	return binary.LittleEndian.Uint64(b[8:]), time.UnixMicro(int64(binary.LittleEndian.Uint64(b[16:]))), nil
}

// checksum returns the CRC-32C of a record's number and payload.
func checksum(seq uint64, payload []byte) uint32 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], seq)
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

// AppendRecord appends a record to b in the format of the files: the length of the payload, the checksum of seq and payload, and the
// payload. seq is the number of the record. It is 0 in files whose records are not numbered.
func AppendRecord(b []byte, seq uint64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, checksum(seq, payload))
	return append(b, payload...)
}

// NextRecord reads the record at offset at of b and returns its payload, which is a part of b, and the offset of the next record. It
// returns ErrCorrupt if the record is incomplete or damaged.
func NextRecord(b []byte, at int, seq uint64) (payload []byte, next int, err error) {
	if at+recordHeaderSize > len(b) {
		return nil, at, fmt.Errorf("record %d: incomplete header: %w", seq, ErrCorrupt)
	}
	n := int(binary.LittleEndian.Uint32(b[at:]))
	if n > maxRecordSize || at+recordHeaderSize+n > len(b) {
		return nil, at, fmt.Errorf("record %d: incomplete or wrong length: %w", seq, ErrCorrupt)
	}
	payload = b[at+recordHeaderSize : at+recordHeaderSize+n]
	if binary.LittleEndian.Uint32(b[at+4:]) != checksum(seq, payload) {
		return nil, at, fmt.Errorf("record %d: checksum mismatch: %w", seq, ErrCorrupt)
	}
	return payload, at + recordHeaderSize + n, nil
}

// posting says that a record of a segment carries a label.
type posting struct {
	label       uint64
	recordIndex uint32 // position of the record in the segment, from 0
}

// appendIndex appends the content of an index file: magic, number of records, time of closing, and the number of postings. The
// postings follow, sorted by label and record, and a checksum.
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

// segmentIndex is the content of an index file.
type segmentIndex struct {
	records  uint32    // number of records in the segment
	closedAt time.Time // when the segment was closed
	postings []byte    // encoded postings, postingSize bytes each
}

// postingSize and indexHeaderSize are the encoded sizes of a posting and of what precedes the postings, in bytes.
const postingSize, indexHeaderSize = 12, 24

// parseIndex reads an index file. It returns ErrCorrupt if the file is incomplete or damaged.
func parseIndex(b []byte) (x segmentIndex, err error) {
	if len(b) < indexHeaderSize+4 || string(b[:8]) != indexMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) ||
		int64(len(b)) != indexHeaderSize+4+postingSize*int64(binary.LittleEndian.Uint32(b[20:])) {
		return x, fmt.Errorf("index: %w", ErrCorrupt)
	}
	return segmentIndex{binary.LittleEndian.Uint32(b[8:]), time.UnixMicro(int64(binary.LittleEndian.Uint64(b[12:]))), b[indexHeaderSize : len(b)-4]}, nil
}

// find returns the positions of the records that carry a label, by binary search.
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
