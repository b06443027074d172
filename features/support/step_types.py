"""Registers the parameter types that step texts use."""

import parse
from behave import register_type


@parse.with_pattern(r"\S+")
def parse_word(text):
    """Parse one word without spaces, such as the name of a process."""
    return text


@parse.with_pattern(r"engine-\d+|service-\d+")
def parse_server(text):
    """Parse the name of a backend server."""
    return text


@parse.with_pattern(r"[\w-]+@[\w-]+")
def parse_version(text):
    """Parse a version in the form ``model@version``."""
    return text


register_type(Version=parse_version, Word=parse_word, Server=parse_server)
