"""Stand-ins for the outside systems, with faults that a test switches on."""
