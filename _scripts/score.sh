#!/usr/bin/env bash
# Scores deployments on the users' bench, one after the other, and prints the worth of each
# day with its change since the last committed scores (docs/scores.tsv).
#
#   BENCH=PATH WHY=TEXT [JOBS=3] [OPTIONS=--quick] _scripts/score.sh SITE.toml...
#
# New scores replace those of the same days in docs/scores.tsv. The exit status is 1 if a
# gate fails.
set -euo pipefail
: "${BENCH:?path of the bench program}" "${WHY:?reason for the journal}"
[ $# -gt 0 ] || { echo "score.sh: no deployment is named" >&2; exit 2; }
cd "$(dirname "$0")/.."
scores=docs/scores.tsv
# The header line also keeps the file from being empty, which awk's NR == FNR needs.
[ -s "$scores" ] || printf '# deployment\tday\tworth\tserved\n' >"$scores"
status=0
for site in "$@"; do
	name=$(basename "$site" .toml)
	# shellcheck disable=SC2086 # OPTIONS holds several words.
	out=$("$BENCH" score "$site" --jobs "${JOBS:-3}" --why "$WHY" ${OPTIONS:-})
	grep -q "^GATE passed" <<<"$out" || { status=1; grep "^GATE" <<<"$out" || echo "$name: no result"; }
	new=$(awk -v site="$name" -v OFS='\t' '$1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $2 ~ /\// { print site, $1, $4, $5 }' <<<"$out")
	awk -F'\t' -v OFS='\t' '
		NR == FNR { old[$1, $2] = $3; next }
		{ change = ($1, $2) in old ? sprintf("%+.3f", $3 - old[$1, $2]) : "new"; print $1, $2, "worth " $3, change, "served " $4; sum += $3; if ($2 !~ /^quiet/) { trouble += $3; n++ } }
		END { if (n) printf "%s\tmean worth of %d days with trouble %.3f\n", $1, n, trouble / n }
	' "$scores" <(echo "$new")
	grep "^GATE" <<<"$out" || true
	[ -n "$new" ] || continue
	awk -F'\t' 'NR == FNR { new[$1, $2] = 1; next } !(($1, $2) in new)' <(echo "$new") "$scores" >"$scores.tmp"
	{ cat "$scores.tmp"; echo "$new"; } | LC_ALL=C sort >"$scores"
	rm "$scores.tmp"
done
exit "$status"
