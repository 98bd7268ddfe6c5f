"""The transport to scan workers over HTTP."""
