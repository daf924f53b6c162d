package front

import (
	"errors"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/baobabtally/baobabtally/internal/httpd"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	// completionCopies is how often a completion request is held: as it came, decoded, as
	// a prompt, and as it is sent to an engine.
	completionCopies = 4
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 200
	// maxLabelsBytes bounds the header that holds the labels of a request.
	maxLabelsBytes = 2048

	headerIdempotencyKey = "Idempotency-Key"
	headerLabels         = "X-Labels"
	headerLastEventID    = "Last-Event-ID"
)

// viewer returns the control state as of the last step of the control thread.
type viewer interface {
	View() *state.State
}

// periodSource returns the grace period of a stopping instance.
type periodSource interface {
	Period() grace.Period
}

// Front decodes requests and encodes answers.
type Front struct {
	handler chain.Handler
	view    viewer
	signer  stream.Signer
	grace   periodSource
}

// Mount registers the routes for callers on e. Requests are served by h. The instance is
// not ready once the period of g is active.
func Mount(e *echo.Echo, h chain.Handler, v viewer, s stream.Signer, g periodSource) {
	f := Front{
		handler: h,
		view:    v,
		signer:  s,
		grace:   g,
	}
	e.POST("/v1/chat/completions", f.chat)
	e.POST("/v1/completions", f.text)
	e.GET("/v1/models", f.models)
	e.Any("/svc/:name", f.service)
	e.Any("/svc/:name/*", f.service)
	e.GET("/healthz", f.healthz)
	e.GET("/readyz", f.readyz)
}

func (f Front) chat(c echo.Context) error { return f.generate(c, chain.Chat) }

func (f Front) text(c echo.Context) error { return f.generate(c, chain.Text) }

// generate serves a chat or text completion.
func (f Front) generate(c echo.Context, kind chain.Kind) error {
	r, err := f.readRequest(c, completionCopies)
	if err != nil {
		return writeProblem(c, r.ID, err)
	}
	r, err = decode(r, kind)
	if err != nil {
		return writeProblem(c, r.ID, err)
	}
	r, err = f.withResume(c, r)
	if err != nil {
		return writeProblem(c, r.ID, err)
	}
	if r.Stream {
		w := &streamWriter{
			c:       c,
			signer:  f.signer,
			request: r,
		}
		_, err := f.handler.Handle(c.Request().Context(), r, w)
		return w.finish(err)
	}
	w := &bufferedWriter{}
	result, err := f.handler.Handle(c.Request().Context(), r, w)
	if err != nil {
		return writeProblem(c, r.ID, err)
	}
	return c.JSON(http.StatusOK, w.response(r, result))
}

// service serves a call to a plain service.
func (f Front) service(c echo.Context) error {
	r, err := f.readRequest(c, 1)
	if err != nil {
		return writeProblem(c, r.ID, err)
	}
	req := c.Request()
	r.Kind = chain.Service
	r.Model = c.Param("name")
	r.Method = req.Method
	r.Path = "/" + strings.TrimPrefix(req.URL.EscapedPath(), "/svc/"+c.Param("name"))
	r.Path = "/" + strings.TrimLeft(r.Path, "/")
	if req.URL.RawQuery != "" {
		r.Path += "?" + req.URL.RawQuery
	}
	r.Key = req.Header.Get(headerIdempotencyKey)
	r.Idempotent = idempotent(req.Method)
	if len(r.Key) > maxKeyBytes || strings.ContainsAny(r.Key, "/\x00") {
		return writeProblem(c, r.ID, fault.New(fault.Invalid, "the %s is too long or has a slash: send at most %d bytes", headerIdempotencyKey, maxKeyBytes))
	}
	r.Labels = r.Labels.With("method", req.Method)
	w := &serviceWriter{
		c: c,
	}
	if _, err := f.handler.Handle(req.Context(), r, w); err != nil && !w.begun {
		return writeProblem(c, r.ID, err)
	}
	return nil
}

// readRequest reads the parts that are common to all requests. The body is held copies
// times.
func (f Front) readRequest(c echo.Context, copies int64) (chain.Request, error) {
	req := c.Request()
	r := chain.Request{
		ID:      uuid.NewString(),
		Secret:  apiKey(req),
		Type:    req.Header.Get("Content-Type"),
		Arrived: time.Now(),
	}
	httpd.SetID(req.Context(), r.ID)
	c.Response().Header().Set("X-Request-Id", r.ID)
	labels, err := parseLabels(req.Header.Get(headerLabels))
	if err != nil {
		return r, err
	}
	r.Labels = labels
	body, err := httpd.ReadBody(c.Response(), req, maxBodyBytes, copies, r.Secret)
	var large *http.MaxBytesError
	var crowded httpd.Crowded
	switch {
	case errors.As(err, &crowded):
		return r, fault.New(fault.Overload, "the instance holds too many bytes for callers: send the request again later").WithRetry(crowded.Wait)
	case errors.As(err, &large):
		return r, fault.New(fault.Large, "the body is over %d bytes: send less", maxBodyBytes)
	case errors.Is(err, httpd.ErrNoLength):
		return r, fault.New(fault.Invalid, "%v: send a Content-Length, or HTTP/1.1", err)
	case err != nil:
		return r, fault.New(fault.Invalid, "the body ended early: send the whole call again")
	}
	r.Body = body
	return r, nil
}

// withResume adds the position from which the caller resumes a stream, if it does.
func (f Front) withResume(c echo.Context, r chain.Request) (chain.Request, error) {
	id := c.Request().Header.Get(headerLastEventID)
	if id == "" {
		return r, nil
	}
	t, err := f.signer.Parse(id)
	if err != nil {
		return r, fault.New(fault.Invalid, "%v", err)
	}
	r.Resume = chain.Resume{
		Endpoint: t.Endpoint,
		Attempt:  t.Attempt,
		Offset:   t.Offset,
		Base:     t.Base,
		Team:     t.Team,
	}
	return r, nil
}

func (f Front) models(c echo.Context) error {
	s := f.view.View()
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, m := range s.Members.Models() {
		list = append(list, model{
			ID:     m,
			Object: "model",
			Owner:  "baobabtally",
		})
	}
	return c.JSON(http.StatusOK, map[string]any{
		"object": "list",
		"data":   list,
	})
}

func (f Front) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readyz tells load balancers whether to send requests to this instance.
func (f Front) readyz(c echo.Context) error {
	s := f.view.View()
	ok, reason := s.Ready(time.Now())
	switch {
	case f.grace.Period().Active():
		return c.String(http.StatusServiceUnavailable, "the instance is stopping\n")
	case !ok:
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func apiKey(req *http.Request) string {
	if s, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer "); ok {
		return s
	}
	return req.Header.Get("X-Api-Key")
}

// parseLabels parses a list of labels such as kind=check,batch=yes.
func parseLabels(text string) (label.Set, error) {
	var set label.Set
	if text == "" {
		return set, nil
	}
	if len(text) > maxLabelsBytes || !utf8.ValidString(text) {
		return set, fault.New(fault.Invalid, "%s is too long or no UTF-8: send at most %d bytes", headerLabels, maxLabelsBytes)
	}
	for _, part := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || key == "" {
			return set, fault.New(fault.Invalid, "%s %q is malformed: send key=value pairs with commas", headerLabels, text)
		}
		set = set.With(key, value)
	}
	return set, nil
}

// idempotent reports whether HTTP defines method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
