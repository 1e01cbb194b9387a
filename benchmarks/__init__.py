"""Measurements of the system; see docs/CAPACITY.md."""
