"""Policies and balancers. Each module lists what it offers in ``__plugins__``.

Built-in modules come in by the same door as users': ``registry.load`` with a module's name.
"""
