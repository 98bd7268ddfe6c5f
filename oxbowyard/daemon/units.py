"""Conversion factors between units."""

MS_PER_S = 1000
BYTES_PER_MB = 1 << 20
