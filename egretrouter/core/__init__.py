"""Implement egretrouter's decisions as state machines that need no sockets."""
