"""The files a scheduler is configured by, as one model: every error found in one go, where each value came
from, and a JSON Schema for editors. Needs msgspec (the extra `cli`, or `waiting`); the platform's `run` does
not import it."""
