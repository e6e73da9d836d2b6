package disk

import (
	"encoding/json"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// record is the change that one Save appends to the log. The first record of a log
// describes the snapshot that the log is based on.
type record struct {
	Snapshot *snapshotRef `json:",omitempty"`
	Vote     *quorum.Vote `json:",omitempty"`
	Keep     uint64       // op of the last entry kept; later ones are discarded
	Entries  []quorum.Entry
}

// snapshotRef describes the snapshot file of a log.
type snapshotRef struct {
	Op       uint64
	Epoch    uint64
	Members  []quorum.Member
	Checksum uint64
}

func (r record) encode() ([]byte, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, payload), nil
}

// apply applies a record to the state. It returns false if the record leaves a gap
// in the entries.
func (r record) apply(s *quorum.Saved) bool {
	if r.Vote != nil {
		s.Vote = *r.Vote
	}
	base := s.Snapshot.Op
	if r.Keep < base || r.Keep > base+uint64(len(s.Entries)) {
		return false
	}
	n := r.Keep - base
	if n < uint64(len(s.Entries)) {
		s.Entries = s.Entries[:n:n] // limits the capacity, so that append copies instead of overwriting shared entries
	}
	s.Entries = append(s.Entries, r.Entries...)
	for i, e := range s.Entries[n:] {
		if e.Op != r.Keep+uint64(i)+1 {
			return false
		}
	}
	return true
}
