"""Settings, configuration, records, and types for the platform's data."""
