"""The settings script: read, checked, and turned into what a router is started with."""
