"""The processes of the system: ``entry`` and ``sidecar``."""
