"""`python -m oxbowyard.cli`: the command where its script is not on the path."""

from . import main

main()
