"""Kept turns of programs: stored on storage VMs, and put together at the gateways."""
