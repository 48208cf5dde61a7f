"""Hold the protocol part of egretrouter."""
