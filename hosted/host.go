package hosted

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/core"
	"dogwoodrock.example/dogwoodrock/disk"
	"dogwoodrock.example/dogwoodrock/entry"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/routes"
)

const (
	mailboxDepth = 8192                   // messages in a service's mailbox: some seconds of the largest load
	linkDepth    = 4096                   // messages queued for a link
	callTimeout  = 600 * time.Millisecond // of a batch to another host: three round trips of a lost packet
	discardAfter = 2 * time.Second        // a host that was unreachable for longer has been replaced
	coreFolder   = "core"
)

// Host is a host with its assembled services.
type Host struct {
	Settings Settings
	Kernel   *kernel.Kernel
	Log      events.Logger
	Metrics  *metric.Set
	Counts   *metric.Hosted

	env          kernel.Env
	self         model.Host
	calls        placer.Calls
	parse        func([]byte) (routes.Document, error)
	droppedLines atomic.Int64 // log lines dropped because of a slow reader
	stopping     atomic.Bool
	closing      atomic.Bool
	stopBeganAt  atomic.Int64 // Unix nanoseconds
}

// Option configures a Host in New.
type Option func(*Host)

// WithEnv sets the clock, random numbers and sockets.
func WithEnv(env kernel.Env) Option {
	return func(h *Host) { h.env = env }
}

// WithLog sets the logger.
func WithLog(log events.Logger) Option {
	return func(h *Host) { h.Log = log }
}

// WithCalls sets the calls to backend servers.
func WithCalls(calls placer.Calls) Option {
	return func(h *Host) { h.calls = calls }
}

// WithParse sets the function that parses the source of routes.
func WithParse(parse func([]byte) (routes.Document, error)) Option {
	return func(h *Host) { h.parse = parse }
}

// New returns a host whose services are registered but not started. It returns an error if the data
// folder can't be opened.
func New(s Settings, opts ...Option) (*Host, error) {
	h := &Host{Settings: s, Log: events.Nop(), Metrics: metric.New(), env: kernel.SystemEnv()}
	for _, opt := range opts {
		opt(h)
	}
	h.Counts = metric.NewHosted(h.Metrics, func() float64 { return float64(h.Log.LeftOut() + h.droppedLines.Load()) })
	h.self = model.Host{
		Name: s.Address, DataCentre: s.DataCentre, Address: h.peerAddress(s.Address), Incarnation: h.env.Random() | 1,
	}
	h.Kernel = kernel.New(kernel.WithEnv(h.env), kernel.WithReport(h.panicked))
	inbox := &peers.Inbox{
		Incarnation: h.self.Incarnation, Log: h.Log, OnSent: h.sent,
		Limits: s.intakeLimits(msgs.ServicePeers), OnClosed: h.clientsClosed(msgs.ServicePeers),
		OnRefused: func(reason string) { h.Metrics.PeerRefused.WithLabelValues(reason).Inc() },
	}
	services := []kernel.Service{inbox.Service(cmp.Or(s.PeerListen, h.self.Address), callTimeout)}
	if s.DataFolder != "" {
		c, err := h.core()
		if err != nil {
			return nil, err
		}
		services = append(services, c.Service(mailboxDepth, h.open))
	} else {
		// The order matters: the entry service notifies a stopping placer of the next one.
		services = append(services, h.entry(), h.placer())
	}
	for _, service := range services {
		if err := h.Kernel.Register(service); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(h.Settings.PeerPort))
}

// open starts the links to the host with this IP address.
func (h *Host) open(name string) error {
	peer := model.Host{Name: name, Address: h.peerAddress(name)}
	for _, ephemeral := range []bool{false, true} {
		if err := h.Kernel.Launch(context.Background(), h.link(peer, ephemeral).Service()); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) link(peer model.Host, ephemeral bool) *peers.Link {
	env := h.env
	env.Dial = peers.CountSent(env.Dial, h.sent)
	l := &peers.Link{
		Self: h.self, Peer: peer, Ephemeral: ephemeral,
		Depth: linkDepth, Timeout: callTimeout, DiscardAfter: discardAfter,
		Dial:        func(peer model.Host) peers.DeliverFunc { return peers.DialTwirp(env, peer) },
		Log:         h.Log,
		Metrics:     h.Metrics,
		OnReachable: func(bool) {},
		OnLost:      func(any) {}, // the sender retries
	}
	if ephemeral {
		l.Timeout = peers.EphemeralTimeout
	}
	return l
}

func (h *Host) sent(bytes int) {
	h.Metrics.PeerSentBytes.Add(float64(bytes))
}

func (h *Host) panicked(err error) {
	h.Log.At(events.ServicePanicked).Str("Error", err.Error()).Send()
}

// mailer returns the function with which a service sends messages.
func (h *Host) mailer(t *kernel.Task) func(to, service string, body any) error {
	return peers.NewMailer(h.self.Name, t.Find, peers.WithOpen(h.open)).Send
}

func (h *Host) core() (*core.Core, error) {
	store, err := disk.Open(filepath.Join(h.Settings.DataFolder, coreFolder))
	if err != nil {
		return nil, err
	}
	saved := store.Saved()
	vote, err := disk.LoadVote[core.Vote](store)
	switch {
	case err != nil && saved.Vote.Generation == 0:
		return nil, err
	case err != nil:
		h.Log.At(events.MembersNotStored).Err(err).Send() // others tell founders which members were chosen
	}
	known, err := store.Members()
	if err != nil {
		h.Log.At(events.MembersNotStored).Err(err).Send() // the host asks the seeds
	}
	return &core.Core{
		Config: core.Config{
			Self: h.self.Name, DataCentre: h.self.DataCentre, Seeds: h.Settings.Seeds, Founding: h.Settings.Founding,
			PlacingCapacity: h.Settings.PlacingCapacity,
			RoutesBytes:     h.Settings.RoutesBytes, MaxRoutesBytes: core.MaxRoutes(h.Settings.MemoryBytes, h.Settings.DiskBytes),
		},
		Codec: core.Codec{
			Commands: codec.FleetCommands, FromCommands: codec.FromFleetCommands,
			Snapshot: codec.FleetSnapshot, FromSnapshot: codec.FromFleetSnapshot,
		},
		Disk: core.Disk{
			Saved:   &saved,
			Empty:   store.State() == disk.StateEmpty,
			Persist: func(p *quorum.Persist) error { return store.Save(*p) },
			Full:    disk.IsFull,
			Compact: store.Compact,

			Vote:        vote,
			StoreVote:   func(v core.Vote) error { return disk.SaveVote(store, v) },
			Members:     known.Hosts,
			MemberEpoch: known.Epoch,
			StoreMembers: func(epoch uint64, hosts []string) error {
				return store.SaveMembers(disk.Members{Epoch: epoch, Hosts: hosts})
			},
		},
		Hooks: h.coreHooks(),
	}, nil
}

func (h *Host) placer() kernel.Service {
	n := &placer.PlacingService{
		Self: h.self.Name, DataCentre: h.self.DataCentre, Incarnation: h.self.Incarnation, Calls: h.calls, Hooks: h.placerHooks(),
		Admission: h.Settings.Admission, Balance: h.Settings.Balance,
	}
	return n.Service(mailboxDepth, func(t *kernel.Task) { n.Send = h.mailer(t) })
}

func (h *Host) entry() kernel.Service {
	n := &entry.JobService{Config: h.entryConfig(), Parse: h.parse, Hooks: h.entryHooks()}
	return n.Service(mailboxDepth, func(t *kernel.Task) { n.Send = h.mailer(t) })
}

func (h *Host) entryConfig() entry.Config {
	limits := h.Settings.intakeLimits(msgs.ServicePeers)
	return entry.Config{
		Self: h.self.Name, DataCentre: h.self.DataCentre, Incarnation: h.self.Incarnation,
		Capacity: h.Settings.Capacity, Seeds: h.Settings.Seeds, Balance: h.Settings.Balance,
		MessageBytes: min(limits.AllBodies, limits.BodyBytes),
	}
}

// Reload applies newer settings. Only the seeds may change while a host runs.
func (h *Host) Reload(s Settings) {
	h.Settings.Seeds = s.Seeds
	h.post(msgs.ServiceCore, core.Seeds{Hosts: s.Seeds})
	h.post(msgs.ServiceEntry, entry.Seeds{Hosts: s.Seeds})
	h.Log.At(events.SettingsReloaded).Strs("Seeds", s.Seeds).Send()
}

// Leave begins a planned stop: the host reports that it isn't ready and hands its placements over.
func (h *Host) Leave() {
	now := h.env.Now()
	h.stopBeganAt.Store(now.UnixNano())
	h.stopping.Store(true)
	h.post(msgs.ServiceEntry, entry.Leave{Deadline: now.Add(h.Settings.Grace - answerReserve)})
}

// Dropped counts log lines that were dropped because the reader of the output is slow.
func (h *Host) Dropped(lines int) {
	h.droppedLines.Add(int64(lines))
}

// Stopping reports whether a planned stop has begun.
func (h *Host) Stopping() bool {
	return h.stopping.Load()
}

// Closing reports whether the listener for callers is closing: new requests must be refused.
func (h *Host) Closing() bool {
	return h.closing.Load()
}

// post sends a message to a service of this host, if the host has that service.
func (h *Host) post(service string, msg any) {
	if ref, err := h.Kernel.Find(service); err == nil {
		ref.Reply(msg)
	}
}

// Handle returns the handler of a listener. It is called when the listener's service starts; find looks
// up services by name.
type Handle func(find func(name string) (kernel.Ref, error)) (http.Handler, error)
