import sys

from lifthead.instance_settings import MalformedError
from lifthead.simhost.serve import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedError as error:
        sys.exit(f"lifthead.simhost: {error}")
