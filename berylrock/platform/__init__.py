"""Adapter to the users' platform: its names, formats and calls. It makes no routing decisions."""
