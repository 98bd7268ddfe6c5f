"""The operator's file: one TOML file, a table for each subsystem that is not the platform's."""
