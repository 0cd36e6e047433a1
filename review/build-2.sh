#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python with the standard library alone, and run with
# the packages that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/stand_ins_2 review/6 review/7 review/8 review/9 review/10
