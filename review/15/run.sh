#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the silence and the crashes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand3 ] && [ -x target/cyclamenford ] || exit 2
exec target/review/stand3 silent target/cyclamenford review/15/record.txt
