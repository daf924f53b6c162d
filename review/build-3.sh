#!/bin/sh
# Builds the stand-ins of review 3 into target/review-3. The sources are kept as text, and are
# built in a temporary folder with the standard library alone.
set -e
cd "$(dirname "$0")/.."
temp=$(mktemp -d)
trap 'rm -rf "$temp"' EXIT
for f in review/stand3/*.go.txt; do
	cp "$f" "$temp/$(basename "$f" .txt)"
done
printf 'module stand\n\ngo 1.26\n' > "$temp/go.mod"
mkdir -p target/review-3
out=$(pwd)/target/review-3/stand
(cd "$temp" && GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o "$out" .)
