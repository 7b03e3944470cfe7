package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/journal"
)

// Headers of the operators' API.
const (
	// PatchHeader holds the id of a patch.
	PatchHeader = "Mimosatide-Patch"
	// OperatorHeader holds the operator's name, which the history records.
	OperatorHeader = "Mimosatide-Operator"
	bearerPrefix   = "Bearer "
)

// maxHistoryEntries is the largest number of entries in one answer.
const maxHistoryEntries = 200

// Proposer applies patches to the configuration of the fleet.
type Proposer interface {
	// ProposePatch proposes a validated patch and waits for its outcome.
	ProposePatch(ctx context.Context, request fleet.PatchRequested) fleet.PatchResult
	// FindPatch returns the configuration version that an accepted patch created, by
	// the id of the patch, and whether there is one.
	FindPatch(ctx context.Context, id string) (mimosatide.Version, bool, error)
	// History returns at most limit of the accepted entries, the newest last.
	History(ctx context.Context, limit int) ([]fleet.Entry, error)
}

// Explainer collects the recorded decisions of the nodes.
type Explainer interface {
	// Explain returns the decisions about a subject, keyed by the node that made them.
	Explain(ctx context.Context, subject string) map[string][]journal.Entry
}

// Reporter describes the node's state.
type Reporter interface {
	// Status returns the state as a value that encodes to JSON.
	Status() any
}

// Server serves the operators' API.
type Server struct {
	key       string
	store     *configuration.Store
	proposer  Proposer
	explainer Explainer
	reporter  Reporter
	newID     func() string
}

// New returns a server that requires the operators' key. The function newID returns
// an id for patches that come without one.
func New(key string, store *configuration.Store, proposer Proposer, explainer Explainer, reporter Reporter, newID func() string) *Server {
	return &Server{key: key, store: store, proposer: proposer, explainer: explainer, reporter: reporter, newID: newID}
}

// Register adds the handlers of the operators' API to an HTTP engine.
func (server *Server) Register(engine *route.Engine) {
	group := engine.Group("/admin", server.authenticate)
	group.GET("/config", server.showConfig)
	group.PATCH("/config", server.patchConfig)
	group.GET("/history", server.showHistory)
	group.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, server.reporter.Status()) })
	group.GET("/explain/*subject", server.explain)
}

// RefuseAmbiguousBody refuses a request that leaves in doubt where its body ends.
func (server *Server) RefuseAmbiguousBody(c *app.RequestContext, err error) {
	c.JSON(http.StatusBadRequest, errorWire{Error: string(mimosatide.ReasonAmbiguousBody), Message: err.Error()})
}

func (server *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	given := strings.TrimPrefix(string(c.Request.Header.Peek("Authorization")), bearerPrefix)
	if subtle.ConstantTimeCompare([]byte(given), []byte(server.key)) != 1 {
		c.AbortWithStatusJSON(http.StatusUnauthorized, errorWire{Error: "NotAnOperator", Message: "show the operators' key"})
		return
	}
	c.Next(ctx)
}

func (server *Server) showConfig(_ context.Context, c *app.RequestContext) {
	view := server.store.View()
	document, err := view.Document.Encode()
	if err != nil {
		c.JSON(http.StatusInternalServerError, errorWire{Error: "Internal", Message: err.Error()})
		return
	}
	c.Response.Header.Set("ETag", strconv.FormatUint(uint64(view.Version), 10))
	c.JSON(http.StatusOK, configWire{Version: uint64(view.Version), Document: document})
}

// patchConfig applies a patch to the configuration of all nodes. A patch id that was
// accepted before gets the same version again, so that a client may retry the call.
func (server *Server) patchConfig(ctx context.Context, c *app.RequestContext) {
	base, err := strconv.ParseUint(strings.Trim(string(c.Request.Header.Peek("If-Match")), `"`), 10, 64)
	if err != nil {
		c.JSON(http.StatusPreconditionRequired, errorWire{Error: "NoVersion", Message: "If-Match names no version number"})
		return
	}
	id := string(c.Request.Header.Peek(PatchHeader))
	if id == "" {
		id = server.newID()
	}
	version, found, err := server.proposer.FindPatch(ctx, id)
	switch {
	case err != nil:
		c.JSON(http.StatusServiceUnavailable, errorWire{Error: "StoreUnavailable", Message: "the platform's table does not answer; nothing was changed"})
		return
	case found:
		c.JSON(http.StatusOK, patchedWire{Version: uint64(version), Patch: id})
		return
	}
	server.proposePatch(ctx, c, id, mimosatide.Version(base))
}

// proposePatch validates a patch against the configuration in force, proposes it and
// writes the outcome. A patch that changes nothing is not proposed.
func (server *Server) proposePatch(ctx context.Context, c *app.RequestContext, id string, base mimosatide.Version) {
	view := server.store.View()
	if view.Version != base {
		server.writeStale(c, view.Version, base)
		return
	}
	format := strings.TrimSpace(strings.Split(string(c.ContentType()), ";")[0])
	changes, faults := configuration.Patch(view.Document, configuration.PatchFormat(format), c.Request.Body())
	if len(faults) > 0 {
		wire := errorWire{Error: "Faulty", Message: "the patched document has faults", Faults: faultsToWire(faults)}
		c.JSON(http.StatusUnprocessableEntity, wire)
		return
	}
	if len(changes) == 0 {
		c.JSON(http.StatusOK, patchedWire{Version: uint64(base), Patch: id})
		return
	}
	encoded, err := configuration.EncodeChanges(changes)
	if err != nil {
		c.JSON(http.StatusInternalServerError, errorWire{Error: "Internal", Message: err.Error()})
		return
	}
	result := server.proposer.ProposePatch(ctx, fleet.PatchRequested{
		ID:       id,
		Operator: string(c.Request.Header.Peek(OperatorHeader)),
		Base:     base,
		Changes:  encoded,
	})
	server.writeOutcome(c, result, base, len(changes))
}

func (server *Server) writeStale(c *app.RequestContext, current, given mimosatide.Version) {
	c.JSON(http.StatusPreconditionFailed, errorWire{
		Error:   "Stale",
		Message: "the patch is against another version; look at the configuration and try again",
		Current: uint64(current),
		Given:   uint64(given),
	})
}

func (server *Server) writeOutcome(c *app.RequestContext, result fleet.PatchResult, base mimosatide.Version, changes int) {
	switch result.Outcome {
	case fleet.PatchAccepted:
		c.JSON(http.StatusOK, patchedWire{Version: uint64(result.Version), Patch: result.ID, Changes: changes})
	case fleet.PatchStale:
		server.writeStale(c, result.Version, base)
	case fleet.PatchRejected:
		c.JSON(http.StatusServiceUnavailable, errorWire{
			Error:   "Rejected",
			Message: "the patch could not be put in force everywhere in time; nothing was changed",
		})
	default:
		c.JSON(http.StatusServiceUnavailable, errorWire{
			Error:   "Unsettled",
			Message: "the platform gave no answer in time; send the same patch id " + result.ID + " again to learn the outcome",
		})
	}
}

func (server *Server) showHistory(ctx context.Context, c *app.RequestContext) {
	limit := maxHistoryEntries
	if requested, err := strconv.Atoi(c.Query("limit")); err == nil && requested > 0 {
		limit = min(limit, requested)
	}
	entries, err := server.proposer.History(ctx, limit)
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, errorWire{Error: "StoreUnavailable", Message: "the platform's table does not answer"})
		return
	}
	wire := historyWire{Entries: []historyEntryWire{}}
	for _, entry := range entries {
		item, err := historyToWire(entry)
		if err != nil {
			c.JSON(http.StatusInternalServerError, errorWire{Error: "Internal", Message: err.Error()})
			return
		}
		wire.Entries = append(wire.Entries, item)
	}
	c.JSON(http.StatusOK, wire)
}

func historyToWire(entry fleet.Entry) (historyEntryWire, error) {
	item := historyEntryWire{Version: uint64(entry.Version), Patch: entry.PatchID, Operator: entry.Operator}
	changes, err := configuration.DecodeChanges(entry.Changes)
	if err != nil {
		return item, errors.Trace(err)
	}
	for _, change := range changes {
		item.Changes = append(item.Changes, changeWire{
			Section: string(change.Section),
			Name:    change.Name,
			Deleted: len(change.Value) == 0,
		})
	}
	return item, nil
}

func (server *Server) explain(ctx context.Context, c *app.RequestContext) {
	subject := strings.TrimPrefix(c.Param("subject"), "/")
	wire := explainWire{Subject: subject, Entries: []explanationWire{}}
	for node, entries := range server.explainer.Explain(ctx, subject) {
		for _, entry := range entries {
			wire.Entries = append(wire.Entries, entryToWire(node, entry))
		}
	}
	if len(wire.Entries) == 0 {
		c.JSON(http.StatusNotFound, errorWire{Error: "Unknown", Message: "no live node remembers a decision about it"})
		return
	}
	c.JSON(http.StatusOK, wire)
}
