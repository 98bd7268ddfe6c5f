"""A model of the configuration files. It finds all errors of a file at once, the source of each value, and a
JSON Schema for editors. Needs msgspec (the extra `cli` or `waiting`); `python -m oxbowyard` does not import
it for the platform's file."""
