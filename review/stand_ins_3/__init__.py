"""Stand-ins of the third review: platform store, runners, clients, and the project's processes."""
