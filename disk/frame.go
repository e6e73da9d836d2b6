package disk

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A frame is an encoded record of the log: the marker, the length of the payload,
// the checksum of length and payload, and the payload.
const (
	frameMarker     = "DWRF"
	frameLengthEnd  = len(frameMarker) + 4 // bytes
	frameHeaderSize = frameLengthEnd + 8   // bytes
)

var (
	errTorn    = errors.New("the last record is incomplete")
	errDamaged = errors.New("a record is damaged and is not the last one")
)

func appendFrame(b, payload []byte) []byte {
	start := len(b)
	b = append(b, frameMarker...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, frameChecksum(b[start+len(frameMarker):], payload))
	return append(b, payload...)
}

func frameChecksum(length, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(length)
	_, _ = d.Write(payload)
	return d.Sum64()
}

// readFrame returns the payload of the first frame in b and the size of that frame. Its
// error is errTorn if b holds no complete frame at all, and errDamaged if a complete
// frame follows: each record is synced before the next one is written, so only the
// last record can be incomplete without damage.
func readFrame(b []byte) (payload []byte, size int, err error) {
	if payload, ok := parseFrame(b); ok {
		return payload, frameHeaderSize + len(payload), nil
	}
	for next := 1; ; next++ {
		i := bytes.Index(b[min(next, len(b)):], []byte(frameMarker))
		if i < 0 {
			return nil, 0, errTorn
		}
		next += i
		if _, ok := parseFrame(b[next:]); ok {
			return nil, 0, errDamaged
		}
	}
}

func parseFrame(b []byte) (payload []byte, ok bool) {
	if len(b) < frameHeaderSize || string(b[:len(frameMarker)]) != frameMarker {
		return nil, false
	}
	length := b[len(frameMarker):frameLengthEnd]
	n := uint64(binary.BigEndian.Uint32(length))
	sum := binary.BigEndian.Uint64(b[frameLengthEnd:])
	rest := b[frameHeaderSize:]
	if n > uint64(len(rest)) || frameChecksum(length, rest[:n]) != sum {
		return nil, false
	}
	return rest[:n], true
}
