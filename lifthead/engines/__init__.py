"""The engines' side: read, fetch and write, letting go, load reports, probes, and the list of engines."""
