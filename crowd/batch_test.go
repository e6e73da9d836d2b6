package crowd

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

const deliver = "/twirp/dogwoodrock.wire.Peer/Deliver"

var (
	protoBatch = target{port: peerPort, method: "POST", path: deliver, header: "Content-Type: application/protobuf\r\n"}
	jsonBatch  = target{port: peerPort, method: "POST", path: deliver, header: "Content-Type: application/json\r\n"}
)

// Messages between hosts, in the encoding of Protocol Buffers: a batch holds envelopes in field 5.
func batchContents(size int) map[string][]byte {
	const envelopes, renew = 5, 8
	grants := strings.Repeat("\x3a\x00", size/2-20) // empty elements of field 7
	return map[string][]byte{
		"empty envelopes": fill(size, "", "\x2a\x00", ""),
		"empty elements":  nested(envelopes, nested(renew, []byte(grants))),
		"unknown fields":  fill(size, "", "\xf8\x07\x00", ""),
	}
}

// nested returns a field with a message in the encoding of Protocol Buffers.
func nested(field int, message []byte) []byte {
	b := varint(uint64(field<<3 | 2))
	return append(append(b, varint(uint64(len(message)))...), message...)
}

func varint(n uint64) []byte {
	var b []byte
	for ; n >= 1<<7; n >>= 7 {
		b = append(b, byte(n)|1<<7)
	}
	return append(b, byte(n))
}

// batchCrowds returns crowds of other hosts.
func batchCrowds() map[string]crowdOf {
	return map[string]crowdOf{
		"large": {protoBatch, 8, batchContents(peerBytes)},
		"small": {protoBatch, 40, batchContents(jobBytes)},
		"JSON":  {jsonBatch, 8, map[string][]byte{"empty envelopes": fill(peerBytes, `{"Envelopes":[{}`, `,{}`, `]}`)}},
	}
}

// TestBatches guards against a process that runs out of memory on messages of legal size between hosts whose content
// takes many times their size once it is decoded.
func TestBatches(t *testing.T) {
	skipUnlessMeasurable(t)
	for crowd, c := range batchCrowds() {
		t.Run("entry host/"+crowd, func(t *testing.T) { c.playAtEntryHost(t) })
		t.Run("core host/"+crowd, func(t *testing.T) { c.playAtCoreHost(t) })
		t.Run("alone/"+crowd, func(t *testing.T) { c.playAlone(t) })
	}
}

// TestNamesOfHosts guards against a process that remembers each name under which a batch was sent.
func TestNamesOfHosts(t *testing.T) {
	skipUnlessMeasurable(t)
	const batches, from, reliable = 300, 1, 3
	s := startSized(t, coreMemoryMB, leastEntryMB)
	stop := make(chan struct{})
	entry := s.entry.watch(stop)
	taken := 0
	for i := range batches {
		name := append([]byte(strconv.Itoa(i)), bytes.Repeat([]byte("x"), jobBytes-1000)...)
		body := append(nested(from, name), reliable<<3, 1)
		a, err := http.Post("http://"+at(s.entryIP, peerPort)+deliver, "application/protobuf", bytes.NewReader(body))
		if err != nil {
			continue // refused
		}
		if a.StatusCode == http.StatusOK {
			taken++
		}
		_ = a.Body.Close()
	}
	waitUntil(t, "a complete job", s.submit)
	close(stop)
	t.Logf("%d batches taken", taken)
	checkMemory(t, "entry", s.entry, <-entry, leastEntryMB)
}
