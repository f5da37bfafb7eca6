"""What lives for one version of the configuration, and the log of versions."""
