#!/usr/bin/env bash
# Regenerates pkg/schema from its .proto file. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
out=${1:-.}
PATH="$bin:$PATH" protoc -I . --go_out="$out" --go_opt=paths=source_relative \
	--go-drpc_out="$out" --go-drpc_opt=paths=source_relative pkg/schema/catkindyke.proto
sed -i '/^\/\/ \tprotoc  /d; /^\/\/ \(- \)\?protoc  /d; /^\/\/ protoc-gen-go-drpc version/d' "$out"/pkg/schema/*.pb.go
