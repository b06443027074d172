"""Data types and services that every layer uses."""
