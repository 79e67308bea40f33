"""What a process keeps: settings, configuration, records, the platform."""
