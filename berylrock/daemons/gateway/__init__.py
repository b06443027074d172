"""The gateway: takes callers' requests from the platform and passes them on to engines."""
