"""The load and experiment tool: seeded loads over stand-ins, measured side by side."""
