"""Plain calls that may not be repeated."""
