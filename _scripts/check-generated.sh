#!/usr/bin/env bash
# Fails if a committed generated file differs from the generator's output.
set -euo pipefail
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
if ! command -v protoc >/dev/null; then
	(apt-get update -qq && apt-get install -y -qq protobuf-compiler) >/dev/null 2>&1 || true
fi
if command -v protoc >/dev/null; then
	_scripts/generate.sh "$tmp"
	diff -u pkg/schema/catkindyke.pb.go "$tmp/pkg/schema/catkindyke.pb.go"
	diff -u pkg/schema/catkindyke_drpc.pb.go "$tmp/pkg/schema/catkindyke_drpc.pb.go"
else
	echo "protoc is not installed and cannot be; schema not checked" >&2
	exit 1
fi
go run ./_scripts/gendocs -out "$tmp/cli"
diff -ru docs/cli "$tmp/cli"
go run ./_scripts/genreference -out "$tmp/reference.md"
diff -u docs/operations/reference.md "$tmp/reference.md"
