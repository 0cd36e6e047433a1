"""Stand-ins for the platform, the runners and the clients, used by the scripts of the review."""
