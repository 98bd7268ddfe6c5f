"""Listening sockets and queries of the kernel's socket state, for both fronts and the admin API."""
