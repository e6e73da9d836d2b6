package quorum

import "time"

// Kind is the kind of a message.
type Kind uint8

// The messages of the protocol.
const (
	KindPrepare          Kind = iota + 1 // entries from the primary; a heartbeat if there are none
	KindPrepareOK                        // last op that a backup holds, and its promise for the lease
	KindStartViewChange                  // request for a new view
	KindDoViewChange                     // vote for a new view, to its primary
	KindHandover                         // primary releases its backups' promises and requests a new view
	KindGetState                         // request for missing entries
	KindNewState                         // some of the missing entries, or a chunk of a snapshot
	KindRecovery                         // question of a member that recovers or checks its generation
	KindRecoveryResponse                 // reply to Recovery
	KindForm                             // invitation to join a new generation
	KindMembership                       // latest committed members, to a host that counts under an earlier membership
)

// Message is a message between replicas. All messages carry From, To, Generation and Epoch; the
// other fields depend on the kind:
//
//	Prepare           View Op Commit Entries Sent Tentative
//	PrepareOK         View Op Sent Tentative
//	StartViewChange   View Normal Members
//	DoViewChange      View Normal Op Commit Incarnations Members
//	Handover          View Normal
//	GetState          View Op Base Offset Nonce MaxBytes
//	NewState          View Op Commit Echo Incarnations Members, and either Entries,
//	                  or Offset Size and one entry with a part of its command,
//	                  or Base Offset Size Snapshot
//	Recovery          Nonce Incarnations
//	RecoveryResponse  View Op Commit Echo Nonce Incarnations Members Primary Entries
//	Form              View Echo Members
//	Membership        Members
//
// The caller passes only messages of the replica's own group, whose senders are trusted. Slices in a
// message must not be modified, because replicas share them.
type Message struct {
	Kind         Kind
	From         string // name of the sender
	To           string // name of the receiver
	Generation   uint64
	Epoch        uint64 // op of the latest committed replacement, 0 if there was none
	View         uint64
	Normal       uint64 // last view in which the sender had normal status
	Tentative    bool   // the generation is not confirmed yet, as far as the sender knows
	Primary      bool   // the sender is the primary of its view
	Op           uint64
	Commit       uint64
	Entries      []Entry
	Sent         time.Duration // time on the primary's clock, echoed by the backup for the lease
	Nonce        uint64        // of the sender's request or recovery
	Echo         uint64        // nonce of the message that this one replies to
	Incarnations []uint64      // by slot, see Replica
	Members      []Member
	Base         uint64 // op of the snapshot, 0 in a transfer of entries
	Offset       int    // of the chunk within the snapshot or the command, in bytes
	Size         int    // of the entire snapshot or command, in bytes; 0 for complete commands
	Snapshot     []byte // chunk
	MaxBytes     int    // of the commands in a reply, 0 if the sender can't receive a command in parts
}

// Entry is one operation of the log.
type Entry struct {
	Op      uint64
	View    uint64 // view in which the entry was proposed
	Command []byte
	Slot    int    // slot whose member is replaced, only if Replace is set
	Replace string // name of the new member in Slot, empty in other entries

	DataCentre string // of the new member, empty if unknown
}
