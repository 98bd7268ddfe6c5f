"""The store of durable jobs: its records, its SQLite file, and the thread that commits changes in groups."""
