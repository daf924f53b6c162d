#!/usr/bin/env bash
# Runs all parts of the test suite, even if one fails, and has triage compare the
# recorded results with KNOWN-RED.txt.
set -uo pipefail
cd "$(dirname "$0")/.."
golangci=${GOLANGCI:?run it by make test}
triage=${TRIAGE:-go run ./cmd/triage}
dir=out/test
rm -rf "$dir"
mkdir -p "$dir"
parts=()
again=()

# part runs a command and records its exit code: part NAME COMMAND...
part() {
	echo "$1: ${*:2}"
	"${@:2}"
	echo $? >"$dir/$1.code"
}

# tests runs go test and records its events and exit code: tests NAME FLAGS...
tests() {
	echo "$1: go test ${*:2}"
	go test -json "${@:2}" | tee "$dir/$1.json" | $triage show
	echo "${PIPESTATUS[0]}" >"$dir/$1.code"
}

# plain runs tests as they are; rapid runs property-based tests with a fixed seed
# and limits. Arguments: NAME FLAGS-AND-PACKAGES...
plain() { tests "$1" -race -count=1 "${@:2}"; }
rapid() { STEPS=60 tests "$1" -race -count=1 "${@:2}" -rapid.seed=1 -rapid.checks=30; }

go list -e -race -json=ImportPath,Dir,Module,TestGoFiles,XTestGoFiles ./... >"$dir/packages"
echo $? >"$dir/packages.code"
drawn=$(go list -e -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./...)
others=$(go list -e ./... | grep -v -x -F "$drawn")

parts+=(packages format lint vet)
part format $golangci fmt --diff
part lint $golangci run ./...
part vet go vet ./...
if [ -n "$others" ]; then
	parts+=(plain)
	plain plain $others
fi
if [ -n "$drawn" ]; then
	parts+=(rapid)
	rapid rapid $drawn
fi

# A listed failure can mask other failures of its package, such as a goroutine
# leak, so each such package is rerun without its listed tests.
mapfile -t repeats < <($triage again "${parts[@]/#/--part=}")
for line in "${repeats[@]}"; do
	IFS=$'\t' read -r name package skip <<<"$line"
	again+=("$name-again-${#again[@]}")
	$name "${again[-1]}" -skip "$skip" "$package"
done

echo
$triage judge "${parts[@]/#/--part=}" "${again[@]/#/--again=}"
