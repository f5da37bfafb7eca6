"""Handling of single HTTP requests from arrival to response."""
