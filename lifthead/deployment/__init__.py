"""The settings script: runs it, checks it, and derives each router's start settings from it."""
