"""Support the steps of the scenarios."""
