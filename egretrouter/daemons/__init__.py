"""Hold the daemons part of egretrouter."""
