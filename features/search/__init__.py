"""Seeded fault search over the decisions of control and entries."""
