"""Measure egretrouter."""
