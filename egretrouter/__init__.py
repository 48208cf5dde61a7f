"""Distribute model weights in bursts, route live calls and roll out configuration."""

__version__ = "0.1.0"
