"""Decisions on versions, servers, admission and retries, and the state that they depend on."""
