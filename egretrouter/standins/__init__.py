"""Hold the standins part of egretrouter."""
