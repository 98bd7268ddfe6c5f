"""The HTTP transport to the scan workers."""
