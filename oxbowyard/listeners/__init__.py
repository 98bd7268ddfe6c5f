"""Listening sockets, and what the system knows of a connection. Both fronts and the admin API use them."""
