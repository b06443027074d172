"""Decisions: which version, which server, what to admit, what to repeat."""
