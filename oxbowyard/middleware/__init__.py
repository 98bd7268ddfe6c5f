"""Middleware that serves requests with the scheduler core inside a web framework."""

from .aiohttp import scheduling

__all__ = ["scheduling"]
