"""Which engines there are: the lists of several sources become the one view that control.Router is updated
from. `listing`, `registry`, `view`, `drains`, `roll` and `weight` decide and do no I/O; `store` keeps
generations on a disk, `watch` watches a file, `handover` passes sockets on, `rolling` carries out a rolling
restart."""
