#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/juniperusher.jar ] && [ -e target/review-2/MaintenanceAtUpgrade.class ] || exit 2
timeout -k 3 117 java -Xmx256m -cp target/review-2 MaintenanceAtUpgrade review/9
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
