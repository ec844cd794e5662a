import sys

from lifthead.simhost.serve import serve
from lifthead.simhost.wire import MalformedError

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedError as problem:
        sys.exit(f"lifthead.simhost: {problem}")
