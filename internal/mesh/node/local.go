package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
)

// announcement is the JSON body with which a target registers at its node.
type announcement struct {
	Service     mesh.ServiceName `json:"service"`
	Addr        netip.AddrPort   `json:"addr"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`

	// Incarnation is the start time of the target, in nanoseconds since the
	// Unix epoch.
	Incarnation mesh.Incarnation `json:"incarnation"`
	Draining    bool             `json:"draining"`
}

func (a announcement) check() (err error) {
	switch {
	case a.Service == "":
		return fmt.Errorf("service is missing")
	case !a.Addr.IsValid():
		return fmt.Errorf("addr is missing; write an IP address and port")
	case a.Slots < 1:
		return fmt.Errorf("slots is %d; it must be at least 1", a.Slots)
	case a.Connections < 1:
		return fmt.Errorf("connections is %d; it must be at least 1", a.Connections)
	case a.Incarnation == 0:
		return fmt.Errorf("incarnation is missing; send the start time in nanoseconds")
	}
	return nil
}

func (a announcement) target() (t mesh.Target) {
	return mesh.Target{
		Service: a.Service, Addr: a.Addr, Slots: a.Slots, Connections: a.Connections,
		Incarnation: a.Incarnation, Draining: a.Draining,
	}
}

// announce handles the announcement of a target on this host.
func (rh *requestHandler) announce(c echo.Context) (err error) {
	var a announcement
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&a); err == nil {
		err = a.check()
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+err.Error())
	}
	t := a.target()
	if err := rh.gate.Announce(c.Request().Context(), t); err != nil {
		return err
	}
	if err := rh.roster.events.Send(c.Request().Context(), roster.Announced{Target: t}); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
