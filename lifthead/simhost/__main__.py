import sys

from lifthead.simhost.serve import serve
from lifthead.simhost.wire import Malformed

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except Malformed as problem:
        sys.exit(f"lifthead.simhost: {problem}")
