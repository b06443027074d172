"""Policies and balancers. Each module lists its plug-ins in ``__plugins__``.

Built-in modules and users' modules are loaded in the same way, by ``registry.load``.
"""
