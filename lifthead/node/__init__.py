"""One router process on the users' platform: its protocols around the shared decision module."""
