"""One router process on the users' platform: its protocol in and out, the same decisions."""
