package codec

import (
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/wire"
)

var (
	listsCommandToWire    = Translator[wire.ListsCommand, lists.Command]()
	listsCommandFromWire  = Translator[lists.Command, wire.ListsCommand]()
	listsSnapshotToWire   = Translator[wire.ListsSnapshot, lists.Snapshot]()
	listsSnapshotFromWire = Translator[lists.Snapshot, wire.ListsSnapshot]()
	listsToWire           = Translator[wire.Lists, lists.Update]()
	listsFromWire         = Translator[lists.Update, wire.Lists]()
)

// ListsCommands encodes the commands of one log entry of the lists group.
func ListsCommands(commands []lists.Command) ([]byte, error) {
	batch := &wire.ListsCommands{}
	for i := range commands {
		batch.Commands = append(batch.Commands, listsCommandToWire(&commands[i]))
	}
	return proto.Marshal(batch)
}

// FromListsCommands decodes the commands of one log entry of the lists group.
func FromListsCommands(data []byte) ([]lists.Command, error) {
	var batch wire.ListsCommands
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, err
	}
	var commands []lists.Command
	for _, c := range batch.GetCommands() {
		commands = append(commands, *listsCommandFromWire(c))
	}
	return commands, nil
}

// ListsSnapshot encodes a snapshot of the lists registry.
func ListsSnapshot(s lists.Snapshot) ([]byte, error) {
	return proto.Marshal(listsSnapshotToWire(&s))
}

// FromListsSnapshot decodes a snapshot of the lists registry.
func FromListsSnapshot(data []byte) (lists.Snapshot, error) {
	var s wire.ListsSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return lists.Snapshot{}, err
	}
	return *listsSnapshotFromWire(&s), nil
}

// Lists encodes one version of the lists.
func Lists(u lists.Update) ([]byte, error) {
	return proto.Marshal(listsToWire(&u))
}

// FromLists decodes one version of the lists.
func FromLists(data []byte) (lists.Update, error) {
	var u wire.Lists
	if err := proto.Unmarshal(data, &u); err != nil {
		return lists.Update{}, err
	}
	return *listsFromWire(&u), nil
}
