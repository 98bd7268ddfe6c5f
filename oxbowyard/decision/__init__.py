"""The decisions of a scheduler: which worker gets each request, and which requests are rejected."""
