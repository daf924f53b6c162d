// Package proof runs randomised simulations of whole instances over fakes.
//
// Several instances, assembled by core as in the daemon, run under a fake clock
// against in-memory endpoints and a fake platform. These crash, freeze, cut
// connections, delay and duplicate messages, lose responses after their effect
// and become unavailable. Invariants inside the program and of the simulation
// around it are checked throughout. All code is in the package's tests; make
// prove runs longer simulations.
//
//	make prove SEED=7 STEPS=5000
package proof
