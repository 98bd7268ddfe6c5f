"""Handover at a replacement: an old process passes its clients and estimates to the one that succeeds it."""
