#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs. Minimization of inputs that only
# reach new code is limited too, because it can take a minute per input.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-2000x}
grep -rlE '^func Fuzz' --include='*_test.go' . | xargs -r -n1 dirname | sort -u | while read -r dir; do
	grep -hoE '^func Fuzz[A-Za-z0-9_]+' "$dir"/*_test.go | cut -d' ' -f2 | while read -r target; do
		echo "$dir $target"
		go test -run '^$' -fuzz "^$target\$" -fuzztime "$count" -fuzzminimizetime 10x -parallel 4 "$dir" >/tmp/fuzz.$$ 2>&1 || { cat /tmp/fuzz.$$; exit 1; }
	done
done
