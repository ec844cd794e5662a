"""`python -m lifthead.node`: one router process.

Nobody speaks TLS on the platform, and asyncio goes without where there is none. Loading it would cost each
start some of its processor time, and each router 2 MB: a fleet starts hundreds at once.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from lifthead.node.signals import early_reload  # noqa: E402

early_reload.install()  # the imports below take most of a start's time

from lifthead.node.serve import main  # noqa: E402

if __name__ == "__main__":
    main()
