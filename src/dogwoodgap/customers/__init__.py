"""Customers at the gateway: their keys, and how long a taken-away key may still be served."""
