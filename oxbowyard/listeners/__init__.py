"""Listeners: how connections of either front come in."""
