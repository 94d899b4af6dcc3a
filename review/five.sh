#!/usr/bin/env bash
# Runs the script of a case five times, and once without the disruption, and prints the exit codes.
cd "$(dirname "$0")/$1" || exit 2
for i in 1 2 3 4 5; do
	./run.sh
	echo "run $i: exit $?, $(grep -c ' BROKEN ' record.txt) breaks"
done
TROUBLE=0 ./run.sh
echo "TROUBLE=0: exit $?, $(grep -c ' BROKEN ' record.txt) breaks"
