"""Hold the core part of egretrouter."""
