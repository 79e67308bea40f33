"""Stand-ins for the outside systems, with faults that tests switch on."""
