"""Distribute model weights in bursts, route live calls and put configuration in force."""

__version__ = "0.1.0"
