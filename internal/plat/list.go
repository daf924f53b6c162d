package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// Entry is a node as the platform's list encodes it.
type Entry struct {
	Name   string            `json:"name"`
	Role   string            `json:"role"`
	Addr   string            `json:"addr"`
	Domain string            `json:"domain"`
	State  string            `json:"state"`
	Labels map[string]string `json:"labels,omitempty"`
	Models []string          `json:"models,omitempty"`
	Fences bool              `json:"fences,omitempty"`
}

// nodesPath is the URL path of the list.
const nodesPath = "/v1/nodes"

// StateDeparting is the State of an entry whose node is departing.
const StateDeparting = "leaving"

// Node returns e as a node, and whether its role is known.
func (e Entry) Node() (member.Node, bool) {
	role, ok := member.ParseRole(e.Role)
	return member.Node{
		Name:      e.Name,
		Role:      role,
		Addr:      e.Addr,
		Domain:    e.Domain,
		Labels:    label.FromMap(e.Labels),
		Models:    e.Models,
		Fences:    e.Fences,
		Departing: e.State == StateDeparting,
	}, ok
}

// List is the platform's list of nodes.
type List struct {
	base  string
	http  *http.Client
	cache *conditionalCache
}

// NewList returns the list at the URL base.
func NewList(base string) List {
	return List{
		base:  strings.TrimSuffix(base, "/"),
		http:  newHTTPClient(),
		cache: newConditionalCache([]string{nodesPath}),
	}
}

// Close closes idle connections.
func (l List) Close() { l.http.CloseIdleConnections() }

// Nodes returns the nodes of the list. Nodes of an unknown role are omitted.
func (l List) Nodes(ctx context.Context) ([]member.Node, error) {
	resp, _, err := send(ctx, l.http, http.MethodGet, l.base+nodesPath, l.cache.conditions(nodesPath), nil)
	if err != nil {
		return nil, errors.Annotate(store.ErrUnavailable, err.Error())
	}
	resp = l.cache.resolve(nodesPath, resp)
	if resp.status != http.StatusOK {
		return nil, store.ErrUnavailable
	}
	var entries []Entry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, errors.Annotate(err, "the platform's list is malformed: check its address")
	}
	nodes := make([]member.Node, 0, len(entries))
	for _, e := range entries {
		if n, ok := e.Node(); ok {
			nodes = append(nodes, n)
		}
	}
	return nodes, nil
}
