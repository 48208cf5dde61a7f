"""Measure egretrouter against its targets and against simpler designs."""
