#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -f review/out/RefusedAfterUpgrades.class ] || [ ! -x review/out/listen ] || [ ! -f target/juniperusher.jar ]; then
    echo "build the program as the deploy file says, then run review/build.sh" >&2
    exit 2
fi
exec review/out/listen java -Xmx512m -cp review/out RefusedAfterUpgrades "$folder/record.txt"
