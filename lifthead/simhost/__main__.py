import sys

from lifthead.simhost.serve import serve
from lifthead.terms import MalformedError

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedError as problem:
        sys.exit(f"lifthead.simhost: {problem}")
