#!/usr/bin/env bash
# Plays the light days of the users' deployments with their bench and compares the
# worth of each day with the last recorded one.
#
# Usage: BENCH=PROGRAM SITES=DIRECTORY scripts/regressions.sh
#
# SITES is searched for the site files that deploy/regressions.txt names. A day that
# breaks a rule, or is worth less than recorded by more than the noise of the bench,
# fails the run. Without the bench there is nothing to compare, and the run says so.
set -euo pipefail
cd "$(dirname "$0")/.."

noise=0.03
recorded=deploy/regressions.txt

if [ -z "${BENCH:-}" ] || [ -z "${SITES:-}" ]; then
  echo "skipped: BENCH and SITES are not set, so the users' bench cannot be run"
  exit 0
fi
[ -x "$BENCH" ] || { echo "BENCH: $BENCH is not a program"; exit 2; }

failed=0
for site in $(awk '!/^#/ && NF { print $1 }' "$recorded" | sort -u); do
  file=$(find "$SITES" -name "$site.toml" | head -1)
  [ -n "$file" ] || { echo "SITES: no $site.toml below $SITES"; exit 2; }
  output=$("$BENCH" score "$file" --quick --jobs "${JOBS:-3}" --why "Regression run")
  echo "$output"
  grep -q '^GATE passed' <<<"$output" || { echo "$site: gate failed"; failed=1; }
  while read -r _ day before; do
    # A result line: day, own/servers, score, worth, ...
    after=$(awk -v day="$day" '$1 == day && $2 ~ /^[0-9]+\/[0-9]+$/ { print $4; exit }' <<<"$output")
    [ -n "$after" ] || { echo "$site $day: no result"; failed=1; continue; }
    if awk -v a="$after" -v b="$before" -v n="$noise" 'BEGIN { exit !(a < b - n) }'; then
      echo "$site $day: worth $after, recorded $before"
      failed=1
    fi
  done < <(awk -v site="$site" '!/^#/ && $1 == site' "$recorded")
done
exit $failed
