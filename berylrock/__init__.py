"""Berylrock routes model requests and plain calls to the back ends that answer them."""
