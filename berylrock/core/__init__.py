"""Data types that every layer shares."""
