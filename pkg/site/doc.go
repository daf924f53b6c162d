// Package site holds the configuration for forwarding requests: routes to services, the
// API keys of teams and limits on what callers send.
//
// A Site is one immutable version of the configuration. Routes are looked up by host and
// longest path prefix, and teams by API key; New builds the index for both.
//
//	s := site.New(7, site.WithRoutes(routes...), site.WithTeams(teams...))
//	r, ok := s.Route("shop.example", "/orders/17")
package site
