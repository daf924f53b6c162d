package site

import (
	"encoding/json"

	"github.com/juju/errors"
)

// document is the encoded form of a Site that instances exchange.
type document struct {
	Version  int64     `json:"Version"`
	Limits   Limits    `json:"Limits"`
	Routes   []Route   `json:"Routes"`
	Services []Service `json:"Services"`
	Teams    []Team    `json:"Teams"`
}

// Marshal encodes s for peers.
func Marshal(s Site) ([]byte, error) {
	d := document{
		Version:  s.version,
		Limits:   s.limits,
		Services: s.Services(),
	}
	for _, rs := range s.routes {
		d.Routes = append(d.Routes, rs...)
	}
	for _, t := range s.teams {
		d.Teams = append(d.Teams, t)
	}
	data, err := json.Marshal(d)
	return data, errors.Trace(err)
}

// Unmarshal decodes a Site that Marshal encoded.
func Unmarshal(data []byte) (Site, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Site{}, errors.Annotate(err, "the peer's configuration is malformed: run the same version on all instances")
	}
	return New(d.Version,
		WithRoutes(d.Routes...),
		WithServices(d.Services...),
		WithTeams(d.Teams...),
		WithLimits(d.Limits)), nil
}
