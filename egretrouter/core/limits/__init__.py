"""Hold the limits part of egretrouter."""
