package front

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	maxNameBytes   = 128
	maxServices    = 256
	maxSlots       = 4096
	maxConnections = 65536
	minLease       = 300 * time.Millisecond
)

// announce forwards the announcement of a backend server to the hosts of its data centre, and
// answers with the lease granted.
func (f *Front) announce(c echo.Context) error {
	var body wire.Announce
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	if err := f.checkAnnounce(&body); err != nil {
		return f.fail(c, err)
	}
	lease := min(milliseconds(body.GetLeaseMs()), f.MaxLease)
	b := model.BackendServer{
		Name:         body.GetName(),
		Address:      body.GetAddress(),
		DataCentre:   body.GetDataCentre(),
		Services:     body.GetServices(),
		Slots:        int(body.GetSlots()),
		Connections:  int(body.GetConnections()),
		MemoryBytes:  megabytes(body.GetMemoryMB()),
		Accelerators: int(body.GetAccelerators()),
		Lease:        lease,
		Usage: model.Usage{
			Running:     int(body.GetRunning()),
			MemoryBytes: megabytes(body.GetUsedMemoryMB()),
		},
	}
	if err := f.sendToDataCentre(c, b.DataCentre, msgs.BackendAnnounce{Server: b}); err != nil {
		return f.fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.Announced{LeaseMs: uint32(lease.Milliseconds())})
}

func (f *Front) checkAnnounce(a *wire.Announce) error {
	refuse := func(field, reason string) error {
		return &model.RefusalError{Code: model.CodeBadRequest, Field: field, Reason: reason, NotRun: true}
	}
	_, addressErr := netip.ParseAddrPort(a.GetAddress())
	switch {
	case a.GetName() == "" || len(a.GetName()) > maxNameBytes:
		return refuse("Name", "is missing or too long")
	case addressErr != nil:
		return refuse("Address", "is not an IP and port")
	case !f.hasDataCentre(a.GetDataCentre()):
		return refuse("DataCentre", "is none of the system's data centres")
	case len(a.GetServices()) == 0 || len(a.GetServices()) > maxServices:
		return refuse("Services", "is empty or too long")
	case a.GetSlots() == 0 || a.GetSlots() > maxSlots:
		return refuse("Slots", "is 0 or too many")
	case a.GetConnections() == 0 || a.GetConnections() > maxConnections:
		return refuse("Connections", "is 0 or too many")
	case milliseconds(a.GetLeaseMs()) < minLease:
		return refuse("LeaseMs", "is less than "+minLease.String())
	}
	return nil
}

func (f *Front) hasDataCentre(dataCentre string) bool {
	for _, h := range f.Hosts {
		if h.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (f *Front) leave(c echo.Context) error {
	var body wire.Leave
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	if !f.hasDataCentre(body.GetDataCentre()) {
		return f.fail(c, &model.RefusalError{Code: model.CodeBadRequest, Field: "DataCentre", Reason: "is none of the system's data centres", NotRun: true})
	}
	msg := msgs.BackendLeave{Name: body.GetName(), DataCentre: body.GetDataCentre()}
	if err := f.sendToDataCentre(c, body.GetDataCentre(), msg); err != nil {
		return f.fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.Cancelled{})
}

// broadcast asks the front to send a message to the group service of every host of a data centre.
type broadcast struct {
	dataCentre string
	body       any
	reply      func(error)
}

func (f *Front) sendToDataCentre(c echo.Context, dataCentre string, body any) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), bodyTimeout)
	defer cancel()
	err, failed := kernel.Ask(ctx, f.self, func(reply func(error)) any {
		return broadcast{dataCentre: dataCentre, body: body, reply: reply}
	})
	if failed != nil {
		return failed
	}
	return err
}

// forward sends a broadcast. It fails only if no link accepts the message.
func (f *Front) forward(m broadcast) {
	var lastErr error
	queued := false
	for _, h := range f.Hosts {
		if h.DataCentre != m.dataCentre {
			continue
		}
		if err := f.mailer.Send(h.Name, msgs.ServiceGroup, m.body); err != nil {
			lastErr = err
			continue
		}
		queued = true
	}
	if queued {
		lastErr = nil
	}
	m.reply(lastErr)
}
