"""The operator's file: a TOML file with one table for each optional subsystem."""
