package front

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
)

// maxQueryBytes bounds the body of a query.
const maxQueryBytes = 16 << 10

// ExplainReply is the answer to a cell.Query.
type ExplainReply struct {
	// Host is the host that answers.
	Host string
	// Explanation is nil if Error is not "", or if another host owns the cell.
	Explanation *cell.Explanation `json:",omitempty"`
	// Owner is the owner of the cell if it is another host, and Address where that one answers.
	Owner   string `json:",omitempty"`
	Address string `json:",omitempty"`
	Error   string `json:",omitempty"`
}

// serveExplain answers a query if this host owns the cell, and otherwise tells which host does.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	status, reply := h.explain(w, r)
	reply.Host = h.settings().Host
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		h.log.WithError(err).Warn("front: explanation not written")
	}
}

func (h *Host) explain(w http.ResponseWriter, r *http.Request) (int, ExplainReply) {
	h.mu.Lock()
	lease, owner := h.lease, h.owner
	h.mu.Unlock()
	if owner == nil {
		return h.referToOwner(lease.Owner)
	}
	var q cell.Query
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return http.StatusBadRequest, ExplainReply{Error: "invalid query: " + err.Error()}
	}
	e, err := owner.Explain(r.Context(), q)
	switch {
	case err == nil:
		return http.StatusOK, ExplainReply{Explanation: &e}
	case errors.Is(err, errors.NotFound):
		return http.StatusNotFound, ExplainReply{Error: err.Error()}
	case errors.Is(err, errors.NotValid):
		return http.StatusBadRequest, ExplainReply{Error: err.Error()}
	case errors.Is(err, errors.Timeout):
		return http.StatusGatewayTimeout, ExplainReply{Error: err.Error()}
	}
	return http.StatusServiceUnavailable, ExplainReply{Error: err.Error()}
}

// referToOwner tells which host owns the cell.
func (h *Host) referToOwner(owner string) (int, ExplainReply) {
	address, known := h.members.resolve(owner)
	ip, _, err := net.SplitHostPort(address)
	switch {
	case owner == "" || owner == h.settings().Host:
		return http.StatusServiceUnavailable, ExplainReply{Error: "no owner of the cell is known"}
	case !known || err != nil:
		return http.StatusServiceUnavailable, ExplainReply{Owner: owner, Error: "the address of the owner " + owner + " is not known"}
	}
	return http.StatusMisdirectedRequest, ExplainReply{Owner: owner, Address: net.JoinHostPort(ip, strconv.Itoa(MetricsPort))}
}
