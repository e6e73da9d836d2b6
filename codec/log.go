package codec

import (
	"iter"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

var (
	entryToWire      = Translator[wire.Entry, msgs.Entry]()
	entryFromWire    = Translator[msgs.Entry, wire.Entry]()
	snapshotToWire   = Translator[wire.GroupSnapshot, msgs.GroupSnapshot]()
	snapshotFromWire = Translator[msgs.GroupSnapshot, wire.GroupSnapshot]()
)

// Entries encodes the commands of one log entry of a data-centre group.
func Entries(entries []msgs.Entry) ([]byte, error) {
	batch := &wire.Commands{}
	for i := range entries {
		batch.Entries = append(batch.Entries, entryToWire(&entries[i]))
	}
	return proto.Marshal(batch)
}

// FromEntries decodes the commands of one log entry of a data-centre group.
func FromEntries(data []byte) ([]msgs.Entry, error) {
	var batch wire.Commands
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, err
	}
	var entries []msgs.Entry
	for _, e := range batch.GetEntries() {
		entries = append(entries, *entryFromWire(e))
	}
	return entries, nil
}

// Snapshot encodes the state of a data-centre group, given in parts that each
// hold some of its fields or list entries. The parts are encoded one after the
// other, and decoding the result merges them.
func Snapshot(parts iter.Seq[msgs.GroupSnapshot]) ([]byte, error) {
	var data []byte
	for part := range parts {
		var err error
		data, err = proto.MarshalOptions{}.MarshalAppend(data, snapshotToWire(&part))
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// FromSnapshot decodes the state of a data-centre group.
func FromSnapshot(data []byte) (msgs.GroupSnapshot, error) {
	var s wire.GroupSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return msgs.GroupSnapshot{}, err
	}
	return *snapshotFromWire(&s), nil
}
