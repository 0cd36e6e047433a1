"""Whole fleets of real gateways in one process, on virtual time and an in-memory network."""

# ``ingress`` cannot be the first module of a gateway that is imported: its imports lead back to it.
import dogwoodgap.gateway  # noqa: F401
