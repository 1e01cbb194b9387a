"""Randomized soak test of processes under injected faults."""
