package codec

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// FuzzEnvelope decodes what another host might send. Whatever is accepted can be encoded again.
func FuzzEnvelope(f *testing.F) {
	for _, body := range []any{msgs.Pulse{Host: "h", Number: 7}, msgs.JobHand{Job: "j", Tasks: -1}, model.ServerTable{Servers: []model.Server{{Name: "s", Seq: 1 << 63}}}} {
		e, err := ToWire("placer", body)
		if err != nil {
			f.Fatal(err)
		}
		data, err := proto.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e wire.Envelope
		if proto.Unmarshal(data, &e) != nil {
			return
		}
		body, err := FromWire(&e)
		if err != nil {
			return
		}
		if _, err := ToWire(e.GetService(), body); err != nil {
			t.Fatalf("%s can't be encoded again: %v", reflect.TypeOf(body), err)
		}
	})
}

// FuzzFleet decodes log entries and snapshots of the core, as read from its disk, and applies them.
func FuzzFleet(f *testing.F) {
	commands, err := FleetCommands([]fleet.Command{{Kind: fleet.KindRoutes, Routes: &model.RoutesText{Version: 7}}, {Kind: fleet.KindTable}, {Kind: -1}})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := FleetSnapshot(fleet.Snapshot{Epoch: 1 << 63, Tables: []model.ServerTable{{DataCentre: "dc"}, {DataCentre: "dc"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(commands, snapshot)
	f.Fuzz(func(_ *testing.T, commands, snapshot []byte) {
		state := fleet.NewState()
		if s, err := FromFleetSnapshot(snapshot); err == nil {
			state = fleet.Restore(s)
		}
		list, err := FromFleetCommands(commands)
		if err != nil {
			return
		}
		for _, c := range list {
			state.Apply(c)
		}
		state.Snapshot()
	})
}
