"""The gateway process: accepts callers' requests and forwards them to engines."""
