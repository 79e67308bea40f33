"""The processes of the service: entry, sidecar, gateway and keeper."""
