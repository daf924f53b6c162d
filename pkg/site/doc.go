// Package site is the configuration by which requests are forwarded: routes to
// services, the API keys of teams and the bounds on what callers send.
//
// A Site is one immutable version. Look-ups are by host and longest prefix, and
// by key; both are indexed once when the version is made.
//
//	s := site.New(7, site.WithRoutes(routes...), site.WithTeams(teams...))
//	r, ok := s.Route("shop.example", "/orders/17")
package site
