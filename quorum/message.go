package quorum

import "time"

// Kind names what a message asks or tells.
type Kind uint8

// The messages of the protocol.
const (
	KindPrepare          Kind = iota + 1 // entries of the primary, or its heartbeat when there are none
	KindPrepareOK                        // what a backup holds, and its promise for the lease
	KindStartViewChange                  // wish for a new view
	KindDoViewChange                     // vote for a new view, to its primary
	KindHandover                         // primary releases the promises made to it
	KindGetState                         // request for missing entries
	KindNewState                         // part of the missing entries or of a snapshot
	KindRecovery                         // question of a member that lost its memory
	KindRecoveryResponse                 // answer to it
	KindForm                             // start of a new generation
)

// Message is what replicas send to each other. All messages carry From, To,
// Generation and Epoch; the other fields depend on the kind:
//
//	Prepare           View Op Commit Entries Sent Tentative
//	PrepareOK         View Op Sent Tentative
//	StartViewChange   View Normal Members
//	DoViewChange      View Normal Op Commit Incarnations Members
//	Handover          View Normal
//	GetState          View Op Base Offset Nonce
//	NewState          View Op Commit Echo Incarnations Members, and either Entries
//	                  or Base Offset Size Snapshot
//	Recovery          Nonce Incarnations
//	RecoveryResponse  View Op Commit Echo Nonce Incarnations Members Primary Entries
//	Form              View Echo Members
//
// A receiver reads messages of its own group only; it trusts their senders.
// Slices in a message must not be changed, because replicas share them.
type Message struct {
	Kind         Kind
	From         string // name of the sender
	To           string // name of the receiver
	Generation   uint64
	Epoch        uint64 // op of the latest committed replacement, 0 when there was none
	View         uint64
	Normal       uint64 // view in which the sender's log last took part
	Tentative    bool   // the sender knows that the generation may still fail to begin
	Primary      bool   // the sender is the primary of its view
	Op           uint64
	Commit       uint64
	Entries      []Entry
	Sent         time.Duration // on the primary's clock, echoed for the lease
	Nonce        uint64        // of the sender
	Echo         uint64        // nonce of the message that this one answers
	Incarnations []uint64      // one a slot, see Replica
	Members      []Member
	Base         uint64 // op of the snapshot
	Offset       int    // of the part within the snapshot, bytes
	Size         int    // of the whole snapshot, bytes
	Snapshot     []byte
}

// Entry is one operation of the log.
type Entry struct {
	Op      uint64
	View    uint64 // in which it was proposed
	Command []byte
	Slot    int    // taken by Replace
	Replace string // name of the member that takes Slot, empty in other entries
}
