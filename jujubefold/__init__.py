"""Configuration distribution for a service mesh."""

__version__ = '0.1.0'
