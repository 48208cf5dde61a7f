"""Hold the routing part of egretrouter."""
