"""Hold the calls part of egretrouter."""
