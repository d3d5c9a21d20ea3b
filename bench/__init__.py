"""Benchmarks of the daemon; run one with `python -m bench NAME`."""
