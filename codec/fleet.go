package codec

import (
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

var (
	fleetCommandToWire    = Translator[wire.FleetCommand, fleet.Command]()
	fleetCommandFromWire  = Translator[fleet.Command, wire.FleetCommand]()
	fleetSnapshotToWire   = Translator[wire.FleetSnapshot, fleet.Snapshot]()
	fleetSnapshotFromWire = Translator[fleet.Snapshot, wire.FleetSnapshot]()
)

func init() {
	register[msgs.HostRenew, wire.Envelope_HostRenew]()
	register[msgs.HostRenewed, wire.Envelope_HostRenewed]()
	register[msgs.JobHand, wire.Envelope_JobHand]()
	register[msgs.JobWithdraw, wire.Envelope_JobWithdraw]()
	register[msgs.JobCancel, wire.Envelope_JobCancel]()
	register[msgs.JobCancelled, wire.Envelope_JobCancelled]()
	register[msgs.JobBar, wire.Envelope_JobBar]()
	register[msgs.JobEnded, wire.Envelope_JobEnded]()
	register[msgs.Pulse, wire.Envelope_Pulse]()
	register[msgs.Pulsed, wire.Envelope_Pulsed]()
	register[msgs.ServerSeen, wire.Envelope_ServerSeen]()
	register[msgs.ServerNoted, wire.Envelope_ServerNoted]()
	register[msgs.CoreJoin, wire.Envelope_CoreJoin]()
	register[msgs.CoreJoined, wire.Envelope_CoreJoined]()
	register[model.ServerTable, wire.Envelope_ServerTable]()
	register[msgs.CoreFound, wire.Envelope_CoreFound]()
	register[msgs.CoreVote, wire.Envelope_CoreVote]()
}

// FleetCommands encodes the commands of one log entry of the core.
func FleetCommands(commands []fleet.Command) ([]byte, error) {
	batch := &wire.FleetCommands{}
	for i := range commands {
		batch.Commands = append(batch.Commands, fleetCommandToWire(&commands[i]))
	}
	return proto.Marshal(batch)
}

// FromFleetCommands decodes the commands of one log entry of the core.
func FromFleetCommands(data []byte) ([]fleet.Command, error) {
	var batch wire.FleetCommands
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, err
	}
	var commands []fleet.Command
	for _, c := range batch.GetCommands() {
		commands = append(commands, *fleetCommandFromWire(c))
	}
	return commands, nil
}

// FleetSnapshot encodes a snapshot of the core's state.
func FleetSnapshot(s fleet.Snapshot) ([]byte, error) {
	return proto.Marshal(fleetSnapshotToWire(&s))
}

// FromFleetSnapshot decodes a snapshot of the core's state.
func FromFleetSnapshot(data []byte) (fleet.Snapshot, error) {
	var s wire.FleetSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fleet.Snapshot{}, err
	}
	return *fleetSnapshotFromWire(&s), nil
}
