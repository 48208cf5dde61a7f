"""Hold the membership part of egretrouter."""
