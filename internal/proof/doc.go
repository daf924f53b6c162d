// Package proof holds long randomised runs of whole instances over fakes.
//
// Several instances, put together by core as in the daemon, run under a fake
// clock against in-memory endpoints and a platform that crash, freeze, cut,
// delay, double, lose answers after their effect and go down. The invariants
// inside the program and those of the world around it are checked all along.
// All of it is in the package's tests; make prove runs it for longer.
//
//	make prove SEED=7 STEPS=5000
package proof
