"""`python -m oxbowyard.cli`: the `oxbowyard` command, for use if its script is not on the path."""

from . import main

main()
