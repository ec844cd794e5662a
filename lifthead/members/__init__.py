"""Which engines there are: several sources become the one view that control.Router is told. `listing` and
`view` decide and do no I/O; `store` keeps generations on a disk, `watch` follows a file."""
