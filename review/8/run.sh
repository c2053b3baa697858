#!/usr/bin/env bash
# Exit status: 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
for program in ../../target/pipitgap ../../target/review-2/rig; do
	[ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec ../../target/review-2/rig scavenger .
