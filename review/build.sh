#!/bin/sh
# The programs under test come from the build of deploy/system.toml. Every stand-in that the scripts start is in
# review/lib/harness.py (Python, standard library alone), so that nothing is compiled here.
cd "$(dirname "$0")" && PYTHONPATH=lib PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness'
