"""Adapters, one module per external system; only these are replaced for another test bench."""
