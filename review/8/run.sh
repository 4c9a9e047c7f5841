#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 "$(dirname "$0")/case.py"
