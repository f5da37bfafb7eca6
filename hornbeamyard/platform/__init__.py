"""Adapter that translates the users' platform into the project's types."""
