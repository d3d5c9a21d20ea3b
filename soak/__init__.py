"""Randomized soak test: daemon processes under injected faults."""
