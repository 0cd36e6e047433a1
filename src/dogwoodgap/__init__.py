"""A scheduler for agent programs on model engines and plain services."""

__version__ = "0.1.0"
