#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. There are none to build: databases, platform,
# operator and clients are Python (review/deployment2.py and confirming2.py, standard library only), and the daemon is
# the one that the deploy file builds. This only looks that both are there and can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/larchpin-platformd ] || { echo "build target/larchpin-platformd first (deploy/system.toml)" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - review/deployment2.py review/confirming2.py review/[4-8]/*.py <<'P'
import sys
for name in sys.argv[1:]:
    with open(name) as f:
        compile(f.read(), name, "exec")
P
