"""Platform adapter: the platform's names, formats and calls.

It only translates. The rest of the package does not depend on these names
and formats.
"""
