"""Decisions of skylarktack, embeddable without the daemon."""
