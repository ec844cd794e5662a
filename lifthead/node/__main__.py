"""`python -m lifthead.node`: one router process.

The `ssl` module is kept from loading: the platform does not use TLS, and asyncio works without it. Loading it
would cost each start processor time and each router 2 MB, and a fleet starts hundreds of routers at once.
"""

import sys
import time

started_at = time.monotonic()  # before the imports below, which take most of the start's time

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from lifthead.node.signals import early_reload  # noqa: E402

early_reload.install()  # before the imports below

from lifthead.node.serve import main  # noqa: E402

if __name__ == "__main__":
    main(started_at)
