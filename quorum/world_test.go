package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// world simulates hosts and their network in steps of one millisecond, and checks that all hosts
// apply the same log.
type world struct {
	rng             *rand.Rand
	cfg             Config
	opts            []Option
	faults          faults
	maxEncodeMs     int64               // maximum time to encode a snapshot, in milliseconds
	syncEvery       int                 // mean number of drains between syncs, 0 to sync before sending
	loss            float64             // probability that a message is lost
	hosts           []*host             // all hosts, including replaced ones
	nowMs           int64               // simulated time, in milliseconds
	queue           map[int64][]Message // in transit, by time of arrival
	blocked         map[[2]string]bool  // links on which messages are dropped, from and to
	hashes          map[uint64]uint64   // hash of the log by its last op
	proposedBy      map[uint64]string   // host that proposed a command
	ackedOp         uint64              // highest op acknowledged to a client
	lastCommand     uint64
	violations      []string
	replacements    int    // number of new hosts so far
	snapshotPadding int    // bytes added to each snapshot
	latest          Status // of a voting host with the latest epoch
	joining         *host  // host that is to become a member
}

type host struct {
	w            *world
	name         string
	slot         int
	r            *Replica
	running      bool
	pausedUntil  int64 // paused until this time, in milliseconds
	inbox        []Message
	clockRate    float64 // relative to simulated time
	appliedOp    uint64  // last applied op
	hash         uint64  // of the applied log
	disk         Saved   // written, possibly not synced
	synced       Saved   // state that survives a crash
	crashOnDrain bool    // whether to crash before the next output is carried out
	members      []Member
	encodings    []pendingEncoding // snapshots being encoded
}

func newWorld(seed uint64, cfg Config) *world {
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		cfg:        cfg,
		queue:      map[int64][]Message{},
		blocked:    map[[2]string]bool{},
		hashes:     map[uint64]uint64{},
		proposedBy: map[uint64]string{},
	}
	for i, m := range cfg.Members {
		w.addHost(m.Name, i)
	}
	return w
}

func testConfig(n int) Config {
	cfg := Config{SnapshotEvery: 100, MaxBatch: 16}.withDefaults()
	for i := range n {
		cfg.Members = append(cfg.Members, Member{Name: string(rune('a' + i))})
	}
	return cfg
}

func (w *world) addHost(name string, slot int) *host {
	h := &host{w: w, name: name, slot: slot, clockRate: 0.99 + 0.02*w.rng.Float64()}
	h.members = slices.Clone(w.cfg.Members)
	h.members[slot] = Member{Name: name}
	w.hosts = append(w.hosts, h)
	return h
}

// start starts the process of a host, with the state on its disk if the group has disks.
func (h *host) start(opts ...Option) {
	cfg := h.w.cfg
	cfg.Self, cfg.Members = h.slot, h.members
	h.running, h.pausedUntil, h.inbox, h.crashOnDrain = true, 0, nil, false
	h.appliedOp, h.hash = 0, 0
	h.encodings = nil
	opts = append(opts, WithRandom(h.w.rng.Uint64))
	if h.w.maxEncodeMs > 0 {
		opts = append(opts, WithAsyncSnapshot(h.startEncoding))
	} else {
		opts = append(opts, WithSnapshot(h.encode))
	}
	opts = append(opts, h.w.opts...)
	if cfg.Durable {
		h.disk = h.synced
		opts = append(opts, WithState(h.disk))
	}
	h.r = New(cfg, opts...)
	h.r.faults = h.w.faults
	h.drain()
}

func (h *host) now() time.Time {
	return time.UnixMilli(1_000_000).Add(time.Duration(h.clockRate * float64(h.w.nowMs) * float64(time.Millisecond)))
}

func (h *host) encode() []byte {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, h.appliedOp), h.hash)
	return append(b, make([]byte, h.w.snapshotPadding)...)
}

// pendingEncoding is a snapshot that is encoded asynchronously.
type pendingEncoding struct {
	op   uint64
	data []byte
	due  int64 // time at which it is finished, in milliseconds
}

func (h *host) startEncoding(op uint64) {
	h.encodings = append(h.encodings, pendingEncoding{op: op, data: h.encode(), due: h.w.nowMs + h.w.rng.Int64N(h.w.maxEncodeMs)})
}

// finishEncodings passes the snapshots that are due to the replica.
func (h *host) finishEncodings() {
	pending := h.encodings
	h.encodings = nil
	for _, e := range pending {
		if e.due > h.w.nowMs {
			h.encodings = append(h.encodings, e)
			continue
		}
		h.r.FinishSnapshot(e.op, e.data)
	}
}

// drain carries out the output of the replica, or crashes the host before that.
func (h *host) drain() {
	out := h.r.Drain()
	if h.crashOnDrain {
		h.running = false
		return
	}
	if out.Persist != nil {
		h.disk.apply(*out.Persist)
	}
	if h.w.syncEvery == 0 || h.w.rng.IntN(h.w.syncEvery) == 0 {
		h.synced = h.disk
	}
	for _, m := range out.Messages {
		h.w.send(m)
	}
	if out.Reset {
		h.appliedOp, h.hash = 0, 0
	}
	if out.Install != nil {
		h.appliedOp = binary.BigEndian.Uint64(out.Install)
		h.hash = binary.BigEndian.Uint64(out.Install[8:])
		h.checkHash()
	}
	for _, e := range out.Committed {
		h.apply(e)
	}
}

func (s *Saved) apply(p Persist) {
	if p.Vote != nil {
		s.Vote = *p.Vote
	}
	if p.Snapshot != nil {
		s.Snapshot = *p.Snapshot
	}
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool {
		return e.Op > p.Keep || e.Op <= s.Snapshot.Op
	})
	s.Entries = append(s.Entries, p.Entries...)
}

func (h *host) apply(e Entry) {
	if e.Op != h.appliedOp+1 {
		h.w.violationf("%s: applied op %d after op %d", h.name, e.Op, h.appliedOp)
	}
	f := fnv.New64a()
	fmt.Fprintf(f, "%d %d %x %s", h.hash, e.Op, e.Command, e.Replace)
	h.appliedOp, h.hash = e.Op, f.Sum64()
	h.checkHash()
	if len(e.Command) == 8 && h.w.proposedBy[binary.BigEndian.Uint64(e.Command)] == h.name {
		h.w.ackedOp = max(h.w.ackedOp, e.Op)
	}
}

// checkHash compares the applied log with those of hosts that have applied the same op.
func (h *host) checkHash() {
	if want, ok := h.w.hashes[h.appliedOp]; ok && want != h.hash {
		h.w.violationf("%s: log differs from that of another host at op %d", h.name, h.appliedOp)
		return
	}
	h.w.hashes[h.appliedOp] = h.hash
}

func (w *world) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d ms: ", w.nowMs)+fmt.Sprintf(format, args...))
}

// send queues a message with a random delay. It may lose or duplicate the message.
func (w *world) send(m Message) {
	if w.blocked[[2]string{m.From, m.To}] {
		return
	}
	for range 2 {
		if w.rng.Float64() >= w.loss {
			delay := 1 + w.rng.Int64N(2)
			if w.rng.Float64() < w.loss {
				delay += w.rng.Int64N(1000)
			}
			w.queue[w.nowMs+delay] = append(w.queue[w.nowMs+delay], m)
		}
		if w.rng.Float64() >= w.loss {
			return // no duplicate
		}
	}
}

// block drops the messages that a host sends (out) or receives (in), except to and from the hosts in
// one slot; -1 excepts none.
func (w *world) block(h *host, out, in bool, exceptSlot int) {
	for _, other := range w.hosts {
		if other.slot != exceptSlot {
			w.blocked[[2]string{h.name, other.name}] = out
			w.blocked[[2]string{other.name, h.name}] = in
		}
	}
}

func (w *world) isolate(h *host) {
	w.block(h, true, true, -1)
}

func (w *world) heal() {
	clear(w.blocked)
}

func (w *world) find(name string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	return w.hosts[i]
}

// run advances the simulated time by ms milliseconds and calls eachMs, if not nil, in each.
func (w *world) run(ms int64, eachMs func()) {
	for end := w.nowMs + ms; w.nowMs < end; {
		w.nowMs++
		for _, m := range w.queue[w.nowMs] {
			h := w.find(m.To)
			h.inbox = append(h.inbox, m)
		}
		delete(w.queue, w.nowMs)
		for _, h := range w.hosts {
			h.run()
		}
		if eachMs != nil {
			eachMs()
		}
		w.checkLeaders()
	}
}

func (h *host) run() {
	if !h.running {
		h.inbox = nil
	}
	if !h.running || h.w.nowMs < h.pausedUntil {
		return
	}
	h.finishEncodings()
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		h.r.Step(m, h.now())
		if h.w.rng.IntN(2) == 0 {
			h.drain()
		}
	}
	if (h.w.nowMs+int64(h.slot))%25 == 0 {
		h.r.Tick(h.now())
	}
	h.drain()
}

// checkLeaders checks that at most one host leads, and updates the latest membership.
func (w *world) checkLeaders() {
	leaders := 0
	for _, h := range w.hosts {
		s := h.status()
		if s.Leading {
			leaders++
		}
		if s.Voting && s.Epoch >= w.latest.Epoch {
			w.latest = s
		}
	}
	if leaders > 1 {
		w.violationf("%d leaders", leaders)
	}
}

// leader returns the running host that leads, nil if there is none.
func (w *world) leader() *host {
	for _, h := range w.hosts {
		if h.running && w.nowMs >= h.pausedUntil && h.r.Status(h.now()).Leading {
			return h
		}
	}
	return nil
}

func (w *world) propose(h *host) error {
	w.lastCommand++
	w.proposedBy[w.lastCommand] = h.name
	_, err := h.r.Propose(binary.BigEndian.AppendUint64(nil, w.lastCommand), h.now())
	h.drain()
	return err
}

func (h *host) handOver() {
	h.r.Handover(h.now())
	h.drain()
}

func (w *world) startAll() {
	for _, h := range w.hosts {
		h.start()
	}
	w.run(1000, nil)
}

// voting returns the current members that vote, paused or not.
func (w *world) voting() (voters []*host) {
	for _, h := range w.hosts {
		if h.status().Voting && slices.Contains(w.latest.Members, Member{Name: h.name}) {
			voters = append(voters, h)
		}
	}
	return voters
}

func (h *host) status() Status {
	if !h.running {
		return Status{}
	}
	return h.r.Status(h.now())
}
