"""Handover at a hot restart: the old process passes its clients and estimates to its successor."""
