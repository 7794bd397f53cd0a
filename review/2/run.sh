#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. python3 case.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
trap - TERM INT
# A signal ends the first wait early; the case still has to end its processes.
if kill -0 "$child" 2>/dev/null; then
    wait "$child"
    code=2
fi
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
