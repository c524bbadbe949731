"""run_case.py FOLDER: runs FOLDER/case.py. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run, also
for errors in the case itself (an uncaught one would exit with 1, as a broken rule does)."""

import os
import runpy
import signal
import sys
import traceback

# The last resort, above the limit of harness.py: ends a run that hangs outside its event loop.
HARD_LIMIT_S = 115

signal.signal(signal.SIGALRM, lambda *_: os._exit(2))
signal.alarm(HARD_LIMIT_S)
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
try:
    runpy.run_path(os.path.join(sys.argv[1], "case.py"), run_name="__main__")
except SystemExit:
    raise
except BaseException:
    traceback.print_exc()
sys.exit(2)
