"""Entry instances that know of each other."""
