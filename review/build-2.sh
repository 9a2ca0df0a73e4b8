#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python 3 programs that need its standard library alone, so there is
# nothing to compile: this checks that each of them can be read. The programs of the system come from the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-2/harness.py [45678]/case.py <<'PYTHON'
import ast, sys
assert sys.version_info >= (3, 9), sys.version
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
    print("can be read:", path)
PYTHON
