"""Hold the cli part of egretrouter."""
