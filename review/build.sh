#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python without packages,
# so this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins/*.py */*.py <<'P'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
P
