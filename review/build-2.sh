#!/bin/sh
# Builds what the cases 6 to 9 start besides the project's programs. Their stand-ins are Python 3, standard library only,
# so there is nothing to compile: this checks that the interpreter is there and that each file can be read by it.
cd "$(dirname "$0")" || exit 1
python3 - lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
print("stand-ins: ready")
PYTHON
