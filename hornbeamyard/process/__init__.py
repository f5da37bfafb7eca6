"""Programs, settings, logs, metrics and roles of a process."""
