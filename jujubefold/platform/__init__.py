"""Platform adapter: the platform's names, formats and calls.

It translates between them and the rest of the package, which does not depend
on them.
"""
