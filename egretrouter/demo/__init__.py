"""Offer whole deployments with stand-ins for demonstrations and experiments."""

from egretrouter.demo._fleet import Fleet, FleetOptions, Part, read_parts

__all__ = ["Fleet", "FleetOptions", "Part", "read_parts"]
