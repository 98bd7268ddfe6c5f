"""Misbehaving clients, and measurements of a daemon that serves ordinary clients beside them."""
