#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")" || exit 2
python3 case.py "${TROUBLE:-1}"
case $? in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
