#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Plays two stops: one with requests that wait for a runner, and one with streams that begin after SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cyclamenford ] && [ -x target/review/stand ] || exit 2
part=$(mktemp) || exit 2
code=0
for play in queued stopping; do
	target/review/stand "$play" review/4
	case $? in
	0) ;;
	1) code=1 ;;
	*) [ "$code" = 1 ] || code=2 ;;
	esac
	cat review/4/record.txt >>"$part"
done
mv "$part" review/4/record.txt
exit "$code"
