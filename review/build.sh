#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. Their sources are kept
# as text, so that they are no part of the module. It needs no network.
set -eu
cd "$(dirname "$0")/.."
temp=$(mktemp -d)
trap 'rm -rf "$temp"' EXIT
for f in review/standin/*.go.txt; do
	cp "$f" "$temp/$(basename "$f" .txt)"
done
printf 'module world\n\ngo 1.26\n' >"$temp/go.mod"
mkdir -p target/review
out=$(pwd)/target/review/world
cd "$temp"
go vet . && go build -o "$out" .
