"""Hold the rollout part of egretrouter."""
