"""Berylrock routes model requests and calls of plain services to backend servers."""
